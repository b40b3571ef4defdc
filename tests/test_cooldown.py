"""A target that rejects a request may request a cool-down."""

import asyncio

from tests import plain_fleet, test_platform_path
from tests.fakes.plain import PlainTarget
from tests.plain_fleet import Fleet
from wisteriapulley.policy.circuit_breaker import MAX_OPEN_S

# Permitted requests from one instance to a target between half a second after its
# first rejection and the end of its cool-down.
MAX_IN_COOLDOWN = 2
REACTION_S = 0.5
COOLDOWN_S = 2.0
CALLERS = 6
PAUSE_S = 0.05


def in_cooldown(arrivals):
    """Count the arrivals in the cool-down that starts with the first of them."""
    requested_s = arrivals[0]
    return sum(
        requested_s + REACTION_S < at_s < requested_s + COOLDOWN_S for at_s in arrivals
    )


async def send_repeatedly(send, seconds):
    """Let several callers send in a loop for some time; return the responses."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + seconds
    answers = []

    async def one(caller):
        number = 0
        while loop.time() < until_s:
            number += 1
            answers.append(await send(f"{caller}-{number}"))
            await asyncio.sleep(PAUSE_S)

    await asyncio.gather(*(one(caller) for caller in range(CALLERS)))
    return answers


class TestPlainTargets:
    def test_target_in_cooldown_gets_no_requests_and_none_fail(self, tmp_path):
        cooling, other = PlainTarget(0), PlainTarget(1)

        async def scenario(fleet):
            cooling.arrivals.clear()
            cooling.cooldown = str(COOLDOWN_S)

            async def requested():
                await fleet.send(0, b"told")
                return cooling.rejected

            await fleet.until(requested)
            answers = await send_repeatedly(
                lambda name: fleet.send(0, name.encode()), COOLDOWN_S - REACTION_S
            )
            assert in_cooldown(cooling.arrivals) <= MAX_IN_COOLDOWN
            assert {status for status, _ in answers} == {200}

        plain_fleet.play(Fleet(tmp_path, [cooling, other]), scenario)

    def test_all_targets_in_cooldown_refuse_at_once(self, tmp_path):
        targets = [PlainTarget(0), PlainTarget(1)]

        async def scenario(fleet):
            for target in targets:
                target.arrivals.clear()
                target.cooldown = str(COOLDOWN_S)
            answers = await send_repeatedly(
                lambda name: fleet.send(0, name.encode()), COOLDOWN_S / 2
            )
            assert all(
                in_cooldown(target.arrivals) <= MAX_IN_COOLDOWN for target in targets
            )
            # Each target rejects one request, and those already in flight then.
            sends = sum(target.rejected for target in targets)
            assert sends <= len(targets) * CALLERS < len(answers)
            assert {status for status, _ in answers} == {503}
            assert all(0 < float(wait) for _, wait in answers)

        plain_fleet.play(Fleet(tmp_path, targets), scenario)

    def test_target_that_rejects_without_cooldown_fails_no_request(self, tmp_path):
        """It looks empty, and would be tried first each time."""
        rejecting, other = PlainTarget(0), PlainTarget(1)

        async def scenario(fleet):
            rejecting.cooldown = ""

            async def rejected():
                await fleet.send(0, b"told")
                return rejecting.rejected >= 2

            await fleet.until(rejected)
            before = rejecting.rejected
            answers = await send_repeatedly(
                lambda name: fleet.send(0, name.encode()), COOLDOWN_S
            )
            limit = COOLDOWN_S / MAX_OPEN_S + CALLERS
            assert rejecting.rejected - before <= limit < len(answers)
            assert {status for status, _ in answers} == {200}

        plain_fleet.play(Fleet(tmp_path, [rejecting, other]), scenario)


class TestEngine:
    def test_gets_no_requests_in_its_cooldown(self, tmp_path):
        async def scenario(path):
            path.engine.arrivals.clear()
            path.engine.cooldown = str(COOLDOWN_S)

            async def send(name):
                status, _, _ = await path.ask(id=f"request-{name}")
                return status

            answers = await send_repeatedly(send, COOLDOWN_S)
            assert in_cooldown(path.engine.arrivals) <= MAX_IN_COOLDOWN
            assert set(answers) == {503}

        test_platform_path.run_scenario(tmp_path, scenario)

    def test_sidecar_rejected_by_its_engine_stops_polling(self, tmp_path):
        async def scenario(path):
            engine = path.engine
            engine.report_cooldown = str(COOLDOWN_S)
            engine.report_times.clear()

            async def reported():
                return engine.report_times

            await path.until(reported)
            await asyncio.sleep(COOLDOWN_S)
            assert in_cooldown(engine.report_times) <= MAX_IN_COOLDOWN
            # The last known state of the engine still applies.
            engine.report_cooldown = ""
            assert (await path.ask())[0] == 200

        test_platform_path.run_scenario(tmp_path, scenario)
