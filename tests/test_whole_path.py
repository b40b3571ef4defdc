"""End-to-end tests on real processes, through the public interfaces."""

import asyncio
import json
import signal
import time

import aiohttp
import pytest

from tests.fleet import Fleet

OWNER = "lettercraft"
# Limits the wait for responses to start: a failed request would never start one.
RESPONSE_START_TIMEOUT_S = 30


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    fleet = Fleet(tmp_path_factory.mktemp("fleet"))
    try:
        fleet.start_origin()
        fleet.start_control(["galway", "swords", "belfast"])
        for number, domain in enumerate(("galway", "swords")):
            fleet.start_target(f"model-{number}", domain, "letter-models")
        fleet.start_target("press-0", "belfast", "print-proof", "plain")
        fleet.start_entry("entry-0", "galway")
        asyncio.run(fleet.wait_ready(["control-1", "control-2", "control-3"]))
        version = fleet.publish(1, 1 << 20, 1 << 18)
        folder = fleet.folder / "catalogue"
        folder.mkdir()
        write(folder, "drafts", "letter-models", version=version)
        write(folder, "letters", "print-proof", idempotent=False)
        fleet.apply(folder, OWNER, "--wait", "20")
        asyncio.run(fleet.wait_ready())
        time.sleep(1)
        yield fleet
    finally:
        fleet.stop()


def write(folder, name, service, **values):
    tree = {"name": name, "owner": OWNER, "class": "c", "service": service, **values}
    (folder / f"{name}.json").write_text(json.dumps(tree))


async def post(fleet, path, body, started=None, **headers):
    headers = {"X-Client-Account": "council-1", **headers}
    url = fleet.nodes["entry-0"].http + path
    async with aiohttp.ClientSession() as session:
        async with session.post(url, data=json.dumps(body), headers=headers) as answer:
            if started is not None:
                started.release()
            return answer.status, dict(answer.headers), await answer.text()


class TestWholePath:
    def test_completion_is_served_by_the_version_of_the_catalogue(self, fleet):
        body = {"model": "drafts", "prompt": "p", "max_tokens": 3}
        status, headers, text = asyncio.run(post(fleet, "/v1/completions", body))
        assert status == 200
        assert json.loads(text)["choices"][0]["text"] == "p:0 p:1 p:2 "
        assert headers["X-Model-Version"] in fleet.run_cli(
            "catalogue", "get", *fleet.operator_options(OWNER)
        )

    def test_request_with_the_same_key_runs_once(self, fleet):
        expires = str(int(time.time() * 1000) + 60_000)
        headers = {"Idempotency-Key": "once", "Idempotency-Expires": expires}
        path = "/services/letters/post"
        answers = [
            asyncio.run(post(fleet, path, {"prompt": "l"}, **headers)) for _ in "12"
        ]
        assert [status for status, _, _ in answers] == [200, 200]
        assert answers[0][2] == answers[1][2]
        ran = [r for r in fleet.records("target-press") if r["event"] == "ran"]
        assert [r["key"] for r in ran].count("once") == 1

    def test_same_key_with_another_body_is_a_conflict(self, fleet):
        expires = str(int(time.time() * 1000) + 60_000)
        headers = {"Idempotency-Key": "clash", "Idempotency-Expires": expires}
        path = "/services/letters/post"
        asyncio.run(post(fleet, path, {"prompt": "1"}, **headers))
        status, _, text = asyncio.run(post(fleet, path, {"prompt": "2"}, **headers))
        assert status == 422
        assert json.loads(text)["error"]["code"] == 402

    def test_unknown_model_is_refused_as_not_run(self, fleet):
        status, _, text = asyncio.run(post(fleet, "/v1/completions", {"model": "x"}))
        assert (status, json.loads(text)["error"]["not_run"]) == (404, True)

    def test_evacuated_target_gets_no_requests_until_the_withdrawal(self, fleet):
        options = fleet.operator_options(OWNER)

        def send_until(status):
            """Resend under new keys until the response has a status."""
            deadline_s = time.monotonic() + RESPONSE_START_TIMEOUT_S
            while True:
                assert time.monotonic() < deadline_s
                expires = str(int(time.time() * 1000) + 60_000)
                key = f"evacuated-{time.monotonic()}"
                headers = {"Idempotency-Key": key, "Idempotency-Expires": expires}
                path = "/services/letters/post"
                sent = asyncio.run(post(fleet, path, {"prompt": "e"}, **headers))
                if sent[0] == status:
                    return json.loads(sent[2])

        shown = fleet.run_cli("evacuate", "belfast", *options)
        assert shown == "evacuated: belfast\n"
        refusal = send_until(503)
        assert refusal["error"]["not_run"] is True
        ran = len(fleet.records("target-press"))
        assert send_until(503)["error"]["code"] == 404
        assert len(fleet.records("target-press")) == ran
        assert fleet.run_cli("evacuate", "belfast", "--end", *options)
        send_until(200)

    @pytest.mark.parametrize("name", ["entry-0", "model-0"])
    def test_sigterm_finishes_requests_in_progress(self, fleet, name):
        node = fleet.nodes[name]
        body = {"model": "drafts", "prompt": "s", "max_tokens": 400, "stream": True}

        async def run():
            started = asyncio.Semaphore(0)
            sends = [
                asyncio.create_task(post(fleet, "/v1/completions", body, started))
                for _ in range(6)
            ]
            async with asyncio.timeout(RESPONSE_START_TIMEOUT_S):
                for _ in sends:
                    await started.acquire()
            node.process.signal(signal.SIGTERM)
            return await asyncio.gather(*sends)

        answers = asyncio.run(run())
        assert node.process.terminate() == 0
        node.process.start()
        asyncio.run(fleet.wait_ready([name]))
        assert [status for status, _, _ in answers] == [200] * 6
        assert all("[DONE]" in text for _, _, text in answers)
