"""Stand-ins for the platform, backend servers and callers."""

from mustardshunt.standin._backend_load import (
    BackendLoad,
    LoadCounters,
    LoadModel,
)
from mustardshunt.standin._backend_server import (
    BackendServer,
    BackendServerOptions,
    run_backend_server,
)
from mustardshunt.standin._platform import (
    PlatformOptions,
    PlatformServer,
    run_platform,
)
from mustardshunt.standin._serving import (
    ServerHandle,
    start_server,
)

__all__ = [
    'BackendLoad',
    'BackendServer',
    'BackendServerOptions',
    'LoadCounters',
    'LoadModel',
    'PlatformOptions',
    'PlatformServer',
    'ServerHandle',
    'run_backend_server',
    'run_platform',
    'start_server',
]
