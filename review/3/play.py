"""A server deregisters; the control process that acknowledged it is killed at once."""

import asyncio
import os
import signal
import sys
from pathlib import Path
from typing import NamedTuple

import aiohttp
from standins.clients import Clients
from standins.deployment import BOUNDS, Deployment, run_case, wait_until
from standins.operator import Operator, plain_config, plain_route
from standins.servers import PlainServer

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = Path(__file__).resolve().parent
ZONES = ("galway-hall", "swords-hall", "belfast-hall")
DRAIN_S = BOUNDS["drain-timeout-ms"] / 1000
WINDOW_S = BOUNDS["connectivity-window-ms"] / 1000
# Calm before the disruption: longer than the connectivity window.
CALM_S = 6.0
# The status reports come every 1.2 s; the server leaves halfway between two of them.
PHASE_S = 0.6
# A killed process is restarted after a short delay.
RESTART_S = 0.5
# The leaving server goes on serving: drain-timeout-ms and a little longer, at times
# many seconds (PROTOCOL.md, Service discovery).
SERVES_ON_S = 7.0


class Leave(NamedTuple):
    """When the leave was acknowledged, and from when machines are in touch again."""

    acked_s: float
    in_touch_s: float


async def play():
    """Play the case; return whether the rule was broken."""
    deployment = Deployment(HERE / "record.txt", 3 + 2 + 1)
    for zone in ZONES:
        deployment.add(f"frontend-{zone}-1", zone, ("control", "entry"))
    for zone in ZONES[:2]:
        deployment.add(f"frontend-{zone}-2", zone, ("entry",))
    try:
        deployment.start_all()
        async with aiohttp.ClientSession() as session:
            return await scenario(deployment, session)
    finally:
        deployment.stop()


async def scenario(deployment, session):
    """Run servers and clients, and let one server leave."""
    controls = [m for m in deployment.machines if "control" in m.roles]
    # Entries on machines of their own, which no disruption touches.
    entries = [m for m in deployment.machines if "control" not in m.roles]
    operator = Operator(session, [m.address(10) for m in controls])
    routes = [plain_route("r-manifest", "/manifest/", "idempotent", "printdesk", 2)]
    config = plain_config(1, routes, ["printdesk"])
    if await operator.send("/api/Configuration.Replace", config) is None:
        raise AssertionError("the first config was not acknowledged")
    servers = [
        PlainServer(deployment, session, "printdesk", f"i-print-{n}", zone)
        for n, zone in enumerate(ZONES)
    ]
    for server in servers:
        await server.start(deployment.hosts[-1])
    for machine in entries:
        await wait_until(lambda m=machine: is_ready(session, m), what="an entry")
    targets = [m.address(8) for m in entries]
    clients = Clients(deployment, session, targets, "GET", "/manifest/batch", 30)
    load = asyncio.create_task(clients.run(CALM_S + PHASE_S + 2 + SERVES_ON_S))
    await asyncio.sleep(CALM_S)
    leave = await let_leave(deployment, servers[0], controls[0])
    await asyncio.sleep(SERVES_ON_S)
    await servers[0].stop()
    deployment.record(f"{servers[0].instance} exits")
    await load
    for server in servers[1:]:
        await server.stop()
    return judge(deployment, servers[0], clients, leave)


async def is_ready(session, machine):
    """Return whether an entry says that it is ready."""
    url = f"http://{machine.address(9)}/api/readiness"
    async with session.get(url) as response:
        return response.status == 200


async def let_leave(deployment, server, acknowledger):
    """Let a server deregister at a control process, which is killed at the ack."""
    server.task.cancel()
    await server.report()
    deployment.record(f"{server.instance} reports ready for the last time")
    await asyncio.sleep(PHASE_S)
    asked_s = deployment.now_s()
    acked = await server.deregister(acknowledger.address(10))
    if TROUBLE:
        acknowledger.signal("control", signal.SIGKILL)
    acked_s = deployment.now_s()
    took_ms = (acked_s - asked_s) * 1000
    if not acked:
        raise AssertionError("the deregistration was not acknowledged")
    deployment.record(f"{server.instance} deregisters at {acknowledger.name}: 200")
    if not TROUBLE:
        return Leave(acked_s, acked_s)
    deployment.record(
        f"control on {acknowledger.name} killed {took_ms:.1f} ms after it was asked"
    )
    print(f"killed {took_ms:.1f} ms after the leave was sent, so sooner after the ack")
    await asyncio.sleep(RESTART_S)
    acknowledger.processes["control"].wait()
    acknowledger.start("control")
    deployment.record(f"control on {acknowledger.name} restarted")
    return Leave(acked_s, deployment.now_s() + WINDOW_S)


def judge(deployment, server, clients, leave):
    """Return whether a request reached the server too late.

    Only those count that a client sent while the entries were in touch.
    """
    late = [
        (at_s - leave.acked_s, attempt)
        for at_s, attempt in server.runs
        if at_s > leave.acked_s + DRAIN_S and clients.sent[attempt] >= leave.in_touch_s
    ]
    for after_s, attempt in late:
        deployment.record(f"BROKEN: {attempt} ran {after_s:.3f} s after the ack")
    answers = list(clients.answers.values())
    when = f" ({late[0][0]:.2f} to {late[-1][0]:.2f} s)" if late else ""
    print(
        f"{len(late)} requests of machines in touch reached {server.instance} later"
        f" than {DRAIN_S} s after the ack{when}; {answers.count('200')} of"
        f" {len(answers)} answered 200"
    )
    return bool(late)


if __name__ == "__main__":
    sys.exit(run_case(play))
