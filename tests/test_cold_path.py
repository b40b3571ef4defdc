"""Cold targets on loopback: control instance, entries and sidecar as they run."""

import asyncio
import json

from tests import plain_fleet, test_platform_path
from tests.fakes.plain import PlainTarget
from tests.fakes.platform import configuration
from tests.plain_fleet import ENTRIES, SERVICE, Fleet
from tests.test_cold_targets import most_in_a_second
from wisteriapulley.platform import names

# Without bounds in the settings file, this is the most in any one second.
PER_S = 12
COLD_LIMITS = {"cold-start-s": 0.5, "cold-per-s": PER_S}
FLOOD_S = 4.0
PAUSE_S = 0.02


async def flood(send, senders):
    """Send from several callers in a loop for some time; return the responses."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + FLOOD_S
    answers = []

    async def send_repeatedly(number):
        while loop.time() < until_s:
            answers.append(await send(number))
            await asyncio.sleep(PAUSE_S)

    await asyncio.gather(*(send_repeatedly(number) for number in range(senders)))
    return answers


def check_answers(answers):
    refused = [wait for status, wait in answers if status == 503]
    assert refused and all(float(wait) > 0 for wait in refused)
    assert any(status == 200 for status, _ in answers)


class TestPlainTarget:
    def test_bound_is_kept_over_all_entries(self, tmp_path):
        target = PlainTarget(0)
        fleet = Fleet(tmp_path, [target])
        fleet.service = {**SERVICE, **COLD_LIMITS}

        def cold_left_s(number):
            now_s = asyncio.get_running_loop().time()
            known = fleet.entries[number].registry.targets[target.target_id]
            return known.cold_left_s(now_s)

        async def scenario(fleet):
            async def all_know(is_cold):
                return all(bool(cold_left_s(n)) == is_cold for n in range(ENTRIES))

            fleet.cold_ms = 60_000
            await fleet.until(lambda: all_know(True))
            target.arrivals.clear()
            answers = await flood(
                lambda number: fleet.send(number % ENTRIES, b"more"), 2 * ENTRIES
            )
            assert most_in_a_second(target.arrivals) <= PER_S
            check_answers(answers)
            fleet.cold_ms = 0
            await fleet.until(lambda: all_know(False))
            for number in range(ENTRIES):
                for _ in range(PER_S):
                    assert (await fleet.send(number, b"warm"))[0] == 200

        plain_fleet.play(fleet, scenario)


class TestEngine:
    def test_bound_is_kept(self, tmp_path):
        async def scenario(path):
            text = json.loads(configuration(4, path.origin))
            text["services"][0] |= COLD_LIMITS
            await path.post_until_accepted(
                names.REPLACE_CALL, json.dumps(text).encode()
            )

            async def turned(is_cold):
                cold = path.sidecar.cold
                return cold.target is not None and cold.was_cold == is_cold

            async def send(number):
                status, _, headers = await path.ask(id=f"request-{number}")
                return status, headers.get("Retry-After")

            await path.until(lambda: turned(False))
            path.cold_ms = 60_000
            await path.until(lambda: turned(True))
            path.engine.arrivals.clear()
            answers = await flood(send, 6)
            assert most_in_a_second(path.engine.arrivals) <= PER_S
            check_answers(answers)
            path.cold_ms = 0
            await path.until(lambda: turned(False))

            # The entry asks an engine that was at its limit again within a second.
            async def is_served():
                return (await path.ask())[0] == 200

            await path.until(is_served)

        test_platform_path.run_scenario(tmp_path, scenario)
