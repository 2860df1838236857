"""Starts stand-ins, and the shared fleet, as processes."""

import asyncio
import os
import shlex
import sys
from pathlib import Path

import pytest
import pytest_asyncio

import mustardshunt
from mustardshunt.standin._local_fleet import LocalFleet
from mustardshunt.standin.tests.shared_fleet import SharedFleet

ROOT = Path(mustardshunt.__file__).parent.parent


@pytest.fixture
async def start_process():
    """Return a function that starts a module and reads its ready line."""
    started = []

    async def start(module, options=''):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            module,
            *shlex.split(options),
            stdout=asyncio.subprocess.PIPE,
            cwd=ROOT,
            env={**os.environ, 'PYTHONPATH': str(ROOT)},
        )
        started.append(process)
        line = (await process.stdout.readline()).decode()
        return process, f'http://{line.split()[-1]}'

    yield start
    for process in started:
        if process.returncode is None:
            process.kill()
            await process.wait()


@pytest_asyncio.fixture(scope='session', loop_scope='session')
async def running_world(tmp_path_factory):
    """Return a fleet that runs until the last test has ended."""
    fleet = LocalFleet(tmp_path_factory.mktemp('fleet'))
    try:
        world = SharedFleet(fleet)
        await world.start()
        yield world
    finally:
        await fleet.stop()


@pytest_asyncio.fixture(loop_scope='session')
async def world(running_world):
    """Return the shared fleet with all its processes up."""
    await running_world.restore()
    return running_world
