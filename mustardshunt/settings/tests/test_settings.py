import dataclasses

import pytest

from mustardshunt.settings import (
    NodeSettings,
    SettingsError,
    check_settings,
    parse_settings,
)

GOOD = """
[node]
host = 10.2.0.7
data_centre = north
secret_file = /etc/mustardshunt/secret
[platform]
table_url = http://10.9.0.1:9000/
object_url = https://10.9.0.2
[data_centre]
network = 10.2.0.0/20
"""


def test_stated_defaults_are_valid() -> None:
    # A file that states all default values must be valid. Otherwise validation
    # would refuse a value that the node uses when the option is omitted.
    settings = parse_settings(GOOD, 'node.ini')
    assert isinstance(settings, NodeSettings)
    assert settings.platform.table_url == 'http://10.9.0.1:9000'
    lines = [
        f'[{section.name}]\n'
        + '\n'.join(
            f'{option.name} = {getattr(values, option.name)}'
            for option in dataclasses.fields(values)
        )
        for section in dataclasses.fields(settings)
        if (values := getattr(settings, section.name))
    ]
    assert parse_settings('\n'.join(lines), 'all.ini') == settings


@pytest.mark.parametrize(
    ('old', 'new', 'expected'),
    [
        (
            'host =',
            'hots =',
            "[node] hots: found 'hots', expected a known option of [node]; did",
        ),
        ('[platform]', '[plaform]', "did you mean 'platform'?"),
        ('10.2.0.7', '10.3.0.7', 'network 10.2.0.0/20'),
        ('10.2.0.0/20', '10.0.0.0/8', '65536 addresses at most'),
        ('http://', 'ftp://', 'an http or https URL'),
        ('http://', 'http://me:word@', "found 'http://(hidden)@10.9"),
        ('[node]', '[node]\npeer_port = 0', 'from 1 to 65535'),
        (
            '[node]',
            '[node]\npeer_port=8080',
            'a port that caller_port does not use',
        ),
        ('[node]', '[node]\nlog_level=info', "did you mean 'INFO'?"),
        ('[node]', '[node]\nhost=10.2.0.8', 'first used in line 3'),
        (
            '[node]',
            '[DEFAULT]\nx=1\n[node]',
            "found 'DEFAULT', expected a known section",
        ),
        ('[node]', 'host\n[node]', 'line 2'),
        ('secret_file = /etc', 'x', 'line 5'),
        (
            'secret_file = /etc/mustardshunt/secret',
            '',
            'missing and has no default',
        ),
        ('[node]', '[limits]\ndrain_seconds=25\n[node]', 'longest timeout'),
        ('[node]', '[limits]\ndrain_seconds=nan\n[node]', 'from 26 to 600'),
    ],
)
def test_issue_states_found_and_allowed_values(
    old: str, new: str, expected: str
) -> None:
    # An invalid setting must be reported, with the value found and the values
    # allowed. Without both, an operator could not correct the setting.
    issues = check_settings(GOOD.replace(old, new, 1), 'node.ini')
    assert any(expected in str(issue) for issue in issues), issues


def test_all_issues_are_reported_at_once() -> None:
    # Validation must report all issues at once. If it stopped at the first
    # issue, an operator would need one attempt for each issue.
    text = GOOD.replace('10.2.0.7', 'x').replace('http://', '')
    with pytest.raises(SettingsError) as raised:
        parse_settings(text, 'node.ini')
    assert [issue.location for issue in raised.value.issues] == [
        '[node] host',
        '[platform] table_url',
    ]
