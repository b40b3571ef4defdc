"""Evacuation end to end: operator's call, control, entry, sidecar and engine."""

import asyncio

from tests.fakes.platform import EVENT_STREAM
from tests.test_platform_path import run_scenario, settings_file
from wisteriapulley.platform import names
from wisteriapulley.platform.daemons import new_control, new_entry, new_sidecar

EVACUATE = names.EVACUATE_CALL.format(failure_domain="palermo")
END = names.END_EVACUATION_CALL.format(failure_domain="palermo")


async def evacuate(path):
    """Evacuate the domain and wait until its sidecar and the entry know."""
    await path.post_until_accepted(EVACUATE, b"")
    await wait_evacuated(path)


async def wait_evacuated(path):
    async def known():
        followers = (path.entry.follower, path.sidecar.follower)
        return all("palermo" in follower.evacuated for follower in followers)

    await path.until(known)


async def assert_refused(path):
    """Send a few requests; none reaches the engine."""
    runs = len(path.engine.runs)
    for number in range(3):
        status, _, headers = await path.ask(id=f"refused-{number}")
        assert status == 503 and float(headers["Retry-After"]) > 0
    assert len(path.engine.runs) == runs


async def restart(path, *names_of_services):
    """Stop some services and start them again with the same data."""
    key = str(path.folder / "key")
    make = {"control": new_control, "entry": new_entry, "sidecar": new_sidecar}
    for name in reversed(names_of_services):
        service = getattr(path, name)
        path.services.remove(service)
        await service.stop()
    own = settings_file(str(path.folder), path.host, path.base, app=path.engine.address)
    for name in names_of_services:
        service = make[name](own, key)
        service.fatal = asyncio.get_running_loop().create_future()
        setattr(path, name, service)
        path.services.append(service)
        await service.start()


class TestEvacuation:
    def test_evacuated_engine_gets_no_requests_until_the_withdrawal(self, tmp_path):
        async def scenario(path):
            await evacuate(path)
            await assert_refused(path)
            assert await path.post(EVACUATE, b"") == 200
            await path.post_until_accepted(END, b"")
            await path.wait_served()
            assert (await path.ask())[:2] == (200, EVENT_STREAM)
            assert await path.post(END, b"") == 200

        run_scenario(tmp_path, scenario)

    def test_unknown_domain_ends_the_call(self, tmp_path):
        async def scenario(path):
            for call in (names.EVACUATE_CALL, names.END_EVACUATION_CALL):
                url = path.url(10, call.format(failure_domain="nowhere"))
                async with path.session.post(url) as answer:
                    text = await answer.text()
                    assert answer.status == 400
                    assert "'nowhere'" in text and "palermo" in text

        run_scenario(tmp_path, scenario)

    def test_newer_weights_are_loaded_meanwhile(self, tmp_path):
        async def scenario(path):
            await evacuate(path)
            path.origin.newest_version = 2
            order = b'{"model":"model","version":2}'
            await path.post_until_accepted(names.WEIGHTS_CALL, order)

            async def loaded():
                return path.engine.version == 2

            await path.until(loaded)
            await assert_refused(path)
            assert not path.sidecar.admission.slots.open
            await path.post_until_accepted(END, b"")
            await path.wait_served()
            assert path.engine.runs[-1][3]["X-Expect-Version"] == "2"

        run_scenario(tmp_path, scenario)

    def test_restart_of_all_instances_on_their_data(self, tmp_path):
        async def scenario(path):
            await evacuate(path)
            runs = len(path.engine.runs)
            await restart(path, "control", "sidecar", "entry")
            await path.wait_confirmed()
            assert "palermo" in path.entry.registry.evacuated
            await wait_evacuated(path)
            await assert_refused(path)
            assert len(path.engine.runs) == runs
            await path.post_until_accepted(END, b"")
            await path.wait_served()

        run_scenario(tmp_path, scenario)

    def test_restarted_entry_knows_the_set_when_it_is_ready(self, tmp_path):
        async def scenario(path):
            await evacuate(path)
            await restart(path, "entry")
            await path.wait_confirmed()
            assert path.entry.registry.evacuated == {"palermo"}
            await assert_refused(path)

        run_scenario(tmp_path, scenario)

    def test_entry_out_of_touch_keeps_the_set_that_it_knew(self, tmp_path):
        """It learns of the withdrawal when it is in touch again."""

        async def scenario(path):
            await evacuate(path)
            await restart(path, "control")
            await assert_refused(path)
            await path.post_until_accepted(END, b"")
            await path.wait_served()

        run_scenario(tmp_path, scenario)
