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


class Command:
    """Runs commands against one fake platform in an empty directory."""

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
) -> Command:
    command = Command(tmp_path, capsys)
    for name in ('Table', 'Object'):
        monkeypatch.setenv(f'MUSTARDSHUNT_{name.upper()}_URL', 'http://fake')

    def connect(url: str) -> FakePlatform:
        return command.platform

    for client in ('HttpTableService', 'HttpObjectStore'):
        monkeypatch.setattr(stores, client, connect, raising=False)
    return command


def test_sheet_is_checked_compared_accepted_and_shown(
    command: Command,
) -> None:
    # Guards against a view or a difference that is not what is in force.
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
    assert 'no difference to version 1' in command.err


def test_faulty_sheet_changes_nothing(command: Command) -> None:
    # Guards against part of a faulty sheet in force, and faults without line.
    file = command.write(SHEET.replace('shop,500', 'shop,-1'))
    for verb in ('check', 'diff', 'accept'):
        assert command.run('sheet', verb, file) == ExitCode.BAD_FILE
        assert f'bad-sheet: {file}: line 4, rate' in command.err
    assert not command.platform.rows
    assert not command.platform.objects
    assert command.run('sheet', 'check', f'{file}x') == ExitCode.NOT_FOUND


def test_key_is_shown_once_and_revoked_for_good(
    command: Command, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a key on the platform or in a message, and against an
    # export that makes a revoked key work again.
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
    assert f"kept by operators' edit: key {digest_key(KEY)}" in command.err
    assert command.run('key', 'revoke', 'x' * 40) == ExitCode.NOT_FOUND
    assert 'x' * 40 not in command.err


def test_config_show_names_who_has_not_confirmed(command: Command) -> None:
    # Guards against a data centre that is cut off and goes unnoticed.
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
            'data centre south (out): not confirmed, last confirmed 1; '
            'lagging nodes: vm-7'
        ),
        'data centre west (in): not confirmed, never confirmed',
    ]
    assert command.run('data-centre', 'in', 'south') == ExitCode.OK
    assert command.run('data-centre', 'in', 'west') == ExitCode.NOT_FOUND
    assert command.version == 3


def test_vms_are_listed_and_declared_gone(command: Command) -> None:
    # Guards against shares that are reclaimed of another VM than meant.
    rows = command.platform.rows
    rows['vm/vm-1'] = stores.Row('vm/vm-1', 1, '{"state": "ready"}')
    assert command.run('vm', 'gone', 'vm-2') == ExitCode.NOT_FOUND
    assert command.run('vm', 'gone', 'vm-1') == ExitCode.OK
    assert command.run('vm', 'list') == ExitCode.OK
    assert command.out == 'vm-1 (declared gone) state=ready\n'
    assert set(rows) == {'vm/vm-1', 'gone/vm-1'}


@pytest.mark.parametrize(
    ('fate', 'expected', 'shown'),
    [
        (
            'unavailable',
            ExitCode.PLATFORM_UNAVAILABLE,
            'platform-unavailable: ',
        ),
        ('lost', ExitCode.PLATFORM_UNKNOWN, 'the key is not shown'),
    ],
)
def test_outage_has_its_own_exit_code(
    command: Command, fate: str, expected: ExitCode, shown: str
) -> None:
    # Guards against a script that takes "may be made" for "not made".
    command.run('sheet', 'accept', command.write(SHEET))
    if fate == 'lost':
        command.platform.outage_after_commit = True
    else:
        command.platform.write_results = (fate,)
    assert command.run('key', 'issue', 'shop') == expected
    assert shown in command.err
    assert not command.out


def test_lost_race_shows_the_difference(
    command: Command, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against an operator who overwrites another's change, or is not
    # told of it.
    command.run('sheet', 'accept', command.write(SHEET))
    commit = command.platform.commit
    store = stores.ConfigStore(command.platform, command.platform)

    async def commit_second(writes: Sequence[stores.Write]) -> None:
        monkeypatch.setattr(command.platform, 'commit', commit)
        sheet = await store.read_sheet()
        await store.accept(issue_key(sheet, 'depot', '1' * 64), sheet)
        await commit(writes)

    monkeypatch.setattr(command.platform, 'commit', commit_second)
    code = command.run('data-centre', 'out', 'south')
    assert code == ExitCode.VERSION_CONFLICT
    assert 'version-conflict: ' in command.err
    assert f'key {"1" * 64} added' in command.err
    assert command.version == 2


def test_node_runs_only_with_checked_settings(
    command: Command, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a node that starts with faulty settings.
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


def test_wrong_url_is_named(
    command: Command, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a trace instead of a message when the URL is missing.
    monkeypatch.delenv('MUSTARDSHUNT_OBJECT_URL')
    assert command.run('sheet', 'show') == ExitCode.USAGE
    assert 'MUSTARDSHUNT_OBJECT_URL' in command.err
    url = ('--object-url', 'http://fake')
    assert command.run('sheet', 'show', *url) == ExitCode.OK


@pytest.mark.parametrize(
    'words',
    [
        '',
        *('node run', 'settings check', 'sheet check', 'sheet diff'),
        *('sheet accept', 'sheet show', 'config show', 'key issue'),
        *('key revoke', 'data-centre out', 'data-centre in', 'vm list'),
        'vm gone',
    ],
)
def test_help_lists_each_exit_code(
    words: str, capsys: pytest.CaptureFixture[str]
) -> None:
    # Guards against a command without help or an exit code without meaning.
    with pytest.raises(SystemExit) as raised:
        main([*words.split(), '--help'])
    assert raised.value.code == 0
    shown = capsys.readouterr().out
    listed = re.findall(r'(\d): ', shown)
    assert listed == [str(code.value) for code in ExitCode]
    assert set(MEANING_BY_EXIT_CODE) == set(ExitCode)


def test_wrong_arguments_have_their_exit_code() -> None:
    # Guards against a command line that is misread and runs.
    with pytest.raises(SystemExit) as raised:
        main(['sheet', 'acept', 'x'])
    assert raised.value.code == ExitCode.USAGE
