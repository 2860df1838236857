"""Fixtures that start stand-ins and a shared fleet as processes."""

import asyncio
import os
import shlex
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
import pytest_asyncio

import mustardshunt
from mustardshunt.standin._local_fleet import LocalFleet
from mustardshunt.standin.tests.deployment import (
    Deployment,
    start_deployment,
)
from mustardshunt.standin.tests.shared_fleet import SharedFleet

ROOT = Path(mustardshunt.__file__).parent.parent


@pytest.fixture
async def start_process():
    """Return a function that starts a module as a process.

    The function waits for the first line that the process prints. This line
    ends with the address of the process. The function returns the process and
    its URL. Processes that still run after the test are killed.
    """
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
async def started_fleet(tmp_path_factory):
    """Return a started fleet that is stopped after the last test."""
    fleet = LocalFleet(tmp_path_factory.mktemp('fleet'))
    try:
        shared_fleet = SharedFleet(fleet)
        await shared_fleet.start()
        yield shared_fleet
    finally:
        await fleet.stop()


@pytest_asyncio.fixture(loop_scope='session')
async def shared_fleet(started_fleet):
    """Return the shared fleet, with ended processes started again."""
    await started_fleet.restore()
    return started_fleet


@pytest_asyncio.fixture
async def deployment() -> AsyncIterator[Deployment]:
    """Return a store without nodes; everything is stopped after the test."""
    deployment = await start_deployment()
    try:
        yield deployment
    finally:
        await deployment.stop()
