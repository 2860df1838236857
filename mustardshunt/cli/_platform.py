"""Connects a command to the platform's table service and object store."""

import importlib
from collections.abc import AsyncGenerator
from contextlib import AsyncExitStack, asynccontextmanager

from mustardshunt.base import ParameterError
from mustardshunt.stores import ConfigStore


@asynccontextmanager
async def open_store(
    table_url: str,
    object_url: str,
) -> AsyncGenerator[ConfigStore, None]:
    """Open the store of sheets and VM records for the time of a context.

    Parameters
    ----------
    table_url, object_url : str
        Base URLs of the table service and the object store.

    Yields
    ------
    ConfigStore
        Store on the platform. Its connections are closed when the context
        ends.

    Raises
    ------
    ParameterError
        A URL is missing or is not an http or https URL.
    """
    _check_url('--table-url', table_url)
    _check_url('--object-url', object_url)
    # Imported only here: the HTTP clients load aiohttp, which commands that
    # only read files do not need.
    stores = importlib.import_module('mustardshunt.stores')
    async with AsyncExitStack() as stack:
        table_session = stores.make_platform_session(table_url)
        stack.push_async_callback(table_session.close)
        object_session = stores.make_platform_session(object_url)
        stack.push_async_callback(object_session.close)
        yield ConfigStore(
            stores.HttpTableService(table_session),
            stores.HttpObjectStore(object_session),
        )


def _check_url(option: str, url: str) -> None:
    if url.startswith(('http://', 'https://')):
        return
    variable = f'MUSTARDSHUNT_{option[2:].upper().replace("-", "_")}'
    raise ParameterError(
        f'{option}: found {url!r}, expected an http or https URL, from this '
        f'option or the environment variable {variable}',
    )
