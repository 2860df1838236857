import io
import json
import re
from collections.abc import Sequence
from pathlib import Path

import pytest

from mustardshunt import node, stores
from mustardshunt.cli import ExitCode, main
from mustardshunt.cli._exit_codes import MEANING_BY_EXIT_CODE
from mustardshunt.settings import NodeSettings
from mustardshunt.settings.tests.test_settings import GOOD
from mustardshunt.sheet import decode_head, digest_key, issue_key
from mustardshunt.sheet.tests.examples import KEY, SHEET
from mustardshunt.stores.tests.fake_platform import FakePlatform


class CommandRunner:
    """Runs commands against a fake platform and keeps their output.

    Files for the commands are written to a temporary directory.
    """

    def __init__(
        self, directory: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        self.platform = FakePlatform()
        self.out = ''
        self.err = ''
        self._directory = directory
        self._capsys = capsys

    def write(self, text: str) -> str:
        path = self._directory / 'file'
        path.write_text(text)
        return str(path)

    def run(self, *arguments: str) -> int:
        code = main(arguments)
        self.out, self.err = self._capsys.readouterr()
        return code

    @property
    def version(self) -> int:
        row = self.platform.rows.get('config/head')
        return decode_head(row.content).version if row else 0


@pytest.fixture
def command(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> CommandRunner:
    command = CommandRunner(tmp_path, capsys)
    for name in ('Table', 'Object'):
        monkeypatch.setenv(f'MUSTARDSHUNT_{name.upper()}_URL', 'http://fake')

    def connect(url: str) -> FakePlatform:
        return command.platform

    for client in ('HttpTableService', 'HttpObjectStore'):
        monkeypatch.setattr(stores, client, connect, raising=False)
    return command


def test_accepted_sheet_is_the_one_shown_and_compared(
    command: CommandRunner,
) -> None:
    # "sheet show" must print the accepted sheet, and "sheet diff" must compare
    # with the accepted sheet. Otherwise operators would see wrong content.
    file = command.write(SHEET)
    assert command.run('sheet', 'check', file) == ExitCode.OK
    assert command.run('sheet', 'diff', file) == ExitCode.OK
    assert (command.version, 'organisation shop added' in command.out) == (
        0,
        True,
    )
    assert command.run('sheet', 'accept', file) == ExitCode.OK
    assert 'version 1 in force' in command.out
    assert command.run('sheet', 'accept', file) == ExitCode.OK
    assert 'nothing changed, version 1' in command.out
    assert command.run('sheet', 'show') == ExitCode.OK
    assert command.run('sheet', 'diff', command.write(command.out)) == 0
    assert 'no difference from version 1' in command.err


def test_invalid_sheet_changes_nothing(command: CommandRunner) -> None:
    # A file with an issue must change nothing: otherwise a part of an invalid
    # sheet could become active. The message must state the line of the issue.
    file = command.write(SHEET.replace('shop,500', 'shop,-1'))
    for verb in ('check', 'diff', 'accept'):
        assert command.run('sheet', verb, file) == ExitCode.BAD_FILE
        assert f'bad-sheet: {file}: line 4, rate' in command.err
    assert not command.platform.rows
    assert not command.platform.objects
    assert command.run('sheet', 'check', f'{file}x') == ExitCode.NOT_FOUND


def test_key_is_printed_once_and_revoked_permanently(
    command: CommandRunner, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A key must be printed only once. It must not appear on the platform or in
    # messages, where others could read it. A sheet file that still lists a
    # revoked key must not restore the key.
    file = command.write(SHEET)
    command.run('sheet', 'accept', file)
    assert command.run('key', 'issue', 'shpo') == ExitCode.NOT_FOUND
    assert "did you mean 'shop'?" in command.err
    assert command.run('key', 'issue', 'shop') == ExitCode.OK
    key = command.out.strip()
    stored = repr((command.platform.rows, command.platform.objects))
    assert digest_key(key) in stored
    assert key not in stored + command.err
    monkeypatch.setattr('sys.stdin', io.StringIO(f'{key}\n'))
    assert command.run('key', 'revoke', '-') == ExitCode.OK
    assert key not in command.out + command.err
    assert command.run('key', 'revoke', digest_key(KEY)) == ExitCode.OK
    assert command.run('sheet', 'accept', file) == ExitCode.OK
    assert 'nothing changed, version 4' in command.out
    assert (
        f"operators' edit overrides the export: key {digest_key(KEY)}"
        in command.err
    )
    assert command.run('key', 'revoke', 'x' * 40) == ExitCode.NOT_FOUND
    assert 'x' * 40 not in command.err


def test_config_show_lists_unconfirmed_data_centres(
    command: CommandRunner,
) -> None:
    # "config show" must list each data centre that has not confirmed the active
    # version. Otherwise operators would not notice that a data centre is cut
    # off from the platform and serves an old version.
    command.run('sheet', 'accept', command.write(SHEET))
    assert command.run('data-centre', 'out', 'south') == ExitCode.OK
    rows = command.platform.rows
    for name, version in (('north', 2), ('south', 1)):
        content = json.dumps({'version': version, 'lagging': ['vm-7']})
        rows[f'confirm/{name}'] = stores.Row(f'confirm/{name}', 1, content)
    node_row = json.dumps({'data_centre': 'west'})
    rows['vm/vm-9'] = stores.Row('vm/vm-9', 1, node_row)
    assert command.run('config', 'show') == ExitCode.UNCONFIRMED
    assert command.out.splitlines() == [
        'version 2 in force',
        'data centre north (in): version 2 confirmed',
        (
            'data centre south (out): not confirmed, last confirmed version 1; '
            'lagging nodes: vm-7'
        ),
        'data centre west (in): not confirmed, no version confirmed yet',
    ]
    assert command.run('data-centre', 'in', 'south') == ExitCode.OK
    assert command.run('data-centre', 'in', 'west') == ExitCode.NOT_FOUND
    assert command.version == 3


def test_only_the_named_vm_is_declared_gone(command: CommandRunner) -> None:
    # "vm gone" must refuse an unknown VM and change only the named VM. The
    # shares of a VM that is declared gone are reclaimed. This must not happen
    # to a VM that still runs.
    rows = command.platform.rows
    rows['vm/vm-1'] = stores.Row('vm/vm-1', 1, '{"state": "ready"}')
    assert command.run('vm', 'gone', 'vm-2') == ExitCode.NOT_FOUND
    assert command.run('vm', 'gone', 'vm-1') == ExitCode.OK
    assert command.run('vm', 'list') == ExitCode.OK
    assert command.out == 'vm-1 (declared gone) state=ready\n'
    assert set(rows) == {'vm/vm-1', 'gone/vm-1'}


@pytest.mark.parametrize(
    ('write_result', 'expected', 'message'),
    [
        (
            'unavailable',
            ExitCode.PLATFORM_UNAVAILABLE,
            'platform-unavailable: ',
        ),
        ('lost', ExitCode.PLATFORM_UNKNOWN, 'the key is not shown'),
    ],
)
def test_platform_failures_have_separate_exit_codes(
    command: CommandRunner, write_result: str, expected: ExitCode, message: str
) -> None:
    # A failed change and a change with unknown outcome must have different exit
    # codes. Otherwise a script could treat a change that may have been made as
    # a change that was not made.
    command.run('sheet', 'accept', command.write(SHEET))
    if write_result == 'lost':
        command.platform.outage_after_commit = True
    else:
        command.platform.write_results = (write_result,)
    assert command.run('key', 'issue', 'shop') == expected
    assert message in command.err
    assert not command.out


def test_version_conflict_lists_the_other_change(
    command: CommandRunner, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A command must not overwrite a concurrent change of another operator. It
    # must fail and list that change, so that the operator can decide again.
    command.run('sheet', 'accept', command.write(SHEET))
    commit = command.platform.commit
    store = stores.ConfigStore(command.platform, command.platform)

    async def commit_after_other(writes: Sequence[stores.Write]) -> None:
        monkeypatch.setattr(command.platform, 'commit', commit)
        sheet = await store.read_sheet()
        await store.accept(issue_key(sheet, 'depot', '1' * 64), sheet)
        await commit(writes)

    monkeypatch.setattr(command.platform, 'commit', commit_after_other)
    code = command.run('data-centre', 'out', 'south')
    assert code == ExitCode.VERSION_CONFLICT
    assert 'version-conflict: ' in command.err
    assert f'key {"1" * 64} added' in command.err
    assert command.version == 2


def test_node_does_not_run_with_invalid_settings(
    command: CommandRunner, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A node must not start when its settings file has issues.
    started: list[NodeSettings] = []

    async def run_node(settings: NodeSettings) -> None:
        started.append(settings)

    monkeypatch.setattr(node, 'run_node', run_node, raising=False)
    bad = command.write(GOOD.replace('host =', 'hots ='))
    for group, verb in (('node', 'run'), ('settings', 'check')):
        assert command.run(group, verb, bad) == ExitCode.BAD_FILE
        assert f'bad-settings: {bad}: [node] hots' in command.err
    assert not started
    assert command.run('node', 'run', command.write(GOOD)) == ExitCode.OK
    assert started[0].node.host == '10.2.0.7'


def test_missing_url_is_reported_with_its_variable(
    command: CommandRunner, monkeypatch: pytest.MonkeyPatch
) -> None:
    # When a URL is missing, the message must name the environment variable. A
    # traceback would not tell the operator what is missing.
    monkeypatch.delenv('MUSTARDSHUNT_OBJECT_URL')
    assert command.run('sheet', 'show') == ExitCode.USAGE
    assert 'MUSTARDSHUNT_OBJECT_URL' in command.err
    url = ('--object-url', 'http://fake')
    assert command.run('sheet', 'show', *url) == ExitCode.OK


@pytest.mark.parametrize(
    'subcommand',
    [
        '',
        *('node run', 'settings check', 'sheet check', 'sheet diff'),
        *('sheet accept', 'sheet show', 'config show', 'key issue'),
        *('key revoke', 'data-centre out', 'data-centre in', 'vm list'),
        'vm gone',
    ],
)
def test_help_lists_each_exit_code(
    subcommand: str, capsys: pytest.CaptureFixture[str]
) -> None:
    # Each command must have a help text that explains each exit code. Scripts
    # could not interpret an exit code without an explanation.
    with pytest.raises(SystemExit) as raised:
        main([*subcommand.split(), '--help'])
    assert raised.value.code == 0
    help_text = capsys.readouterr().out
    listed = re.findall(r'(\d): ', help_text)
    assert listed == [str(code.value) for code in ExitCode]
    assert set(MEANING_BY_EXIT_CODE) == set(ExitCode)


def test_unknown_subcommand_exits_with_usage_error() -> None:
    # A mistyped subcommand must be refused. It must not run as another
    # subcommand.
    with pytest.raises(SystemExit) as raised:
        main(['sheet', 'acept', 'x'])
    assert raised.value.code == ExitCode.USAGE
