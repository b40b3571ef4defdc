"""The operator: sends configs to control addresses until they are acknowledged."""

import asyncio
import contextlib
import itertools
import json

import aiohttp


class Operator:
    """Calls control, one address after the other, as PROTOCOL.md describes."""

    def __init__(self, session, addresses):
        self.session = session
        self.addresses = addresses
        self.turn = itertools.count()

    async def send(self, path, body, limit_s=20.0):
        """Send a change until it is acknowledged; return the address that did."""
        data = json.dumps(body).encode()
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + limit_s
        while loop.time() < deadline_s:
            address = self.addresses[next(self.turn) % len(self.addresses)]
            with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                async with self.session.post(
                    f"http://{address}{path}",
                    data=data,
                    headers={"Content-Type": "application/json"},
                    timeout=aiohttp.ClientTimeout(total=1.0),
                ) as response:
                    await response.read()
                    if response.status == 200:
                        return address
                    if response.status in (400, 409, 412, 413, 422):
                        raise AssertionError(f"{path} refused: {response.status}")
            await asyncio.sleep(0.2)
        return None


def plain_route(name, prefix, kind, service, attempts):
    """Return a route to plain servers."""
    return {
        "name": name,
        "host": "letters.example",
        "path-prefix": prefix,
        "kind": kind,
        "timeout-ms": 3000,
        "target-latency-ms": 400,
        "priority": 2,
        "service": service,
        "attempts": attempts,
        "public": False,
        "session-affinity": False,
    }


def plain_config(version, routes, services):
    """Return a config with plain services."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health-check-path": "/health",
                "max-connections": 54,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "council", "api-keys": ["key-council"], "priority": 1}],
    }
