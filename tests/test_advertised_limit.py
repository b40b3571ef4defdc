"""A target advertises how many requests per second it accepts from all entries."""

import asyncio

from tests import plain_fleet, test_platform_path
from tests.fakes.plain import PlainTarget
from tests.plain_fleet import ENTRIES, Fleet

PER_S = 2.0
# Permitted requests in any window: one and a half times the rate plus five, from half a
# second after the senders received the rate.
WINDOW_S = 4.0
RATE_FACTOR = 1.5
SLACK = 5
REACTION_S = 0.5
FLOOD_S = 7.0
PAUSE_S = 0.05


def max_in_window(arrivals, since_s):
    """Return the largest number of arrivals in any window since a time."""
    times = sorted(at_s for at_s in arrivals if at_s >= since_s)
    return max(
        (sum(at_s <= t < at_s + WINDOW_S for t in times) for at_s in times), default=0
    )


def allowed(per_s):
    return RATE_FACTOR * per_s * WINDOW_S + SLACK


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


class TestPlainTarget:
    def test_rate_is_kept_over_all_entries(self, tmp_path):
        target = PlainTarget(0)
        fleet = Fleet(tmp_path, [target])

        async def scenario(fleet):
            target.advertised_rate = str(PER_S)
            for number in range(ENTRIES):
                assert (await fleet.send(number, b"told"))[0] == 200
            limited_from_s = asyncio.get_running_loop().time() + REACTION_S
            answers = await flood(
                lambda number: fleet.send(number % ENTRIES, b"more"), 2 * ENTRIES
            )
            assert max_in_window(target.arrivals, limited_from_s) <= allowed(PER_S)
            refused = [wait for status, wait in answers if status == 503]
            assert refused and all(float(wait) > 0 for wait in refused)
            assert any(status == 200 for status, _ in answers)

        plain_fleet.play(fleet, scenario)


class TestEngine:
    def test_rate_is_kept(self, tmp_path):
        async def scenario(path):
            path.engine.advertised_rate = str(PER_S)
            assert (await path.ask())[0] == 200
            limited_from_s = asyncio.get_running_loop().time() + REACTION_S

            async def send(number):
                status, _, headers = await path.ask(id=f"request-{number}")
                return status, headers.get("Retry-After")

            answers = await flood(send, 6)
            assert max_in_window(path.engine.arrivals, limited_from_s) <= allowed(PER_S)
            refused = [wait for status, wait in answers if status == 503]
            assert refused and all(float(wait) > 0 for wait in refused)
            assert any(status == 200 for status, _ in answers)

        test_platform_path.run_scenario(tmp_path, scenario)
