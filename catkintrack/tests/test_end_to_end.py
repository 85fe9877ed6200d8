"""Send calls through separate router, agent, engine and service processes."""

import json
import unittest

import openai

from testkit.caller import (
    call_chat,
    call_http,
    make_expected_text,
    make_messages,
)
from testkit.configs import make_api_key, make_config, make_workspace
from testkit.fleet import HOST, open_fleet, wait_until

CHAT = make_messages("You tag orders.", "A wreath for Friday, please. " * 200)


class EndToEndTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = cls.enterClassContext(open_fleet())
        cls.fleet.start_platform()
        for name in ("e0", "e1"):
            cls.fleet.start_engine(name)
        cls.fleet.start_service("s0")
        kinds = make_config(
            {"blom": make_workspace(), "poor": make_workspace(rate=10, burst=100)},
            cls.fleet.engine_port_by_name,
            cls.fleet.service_port_by_name,
        )
        kinds["route"]["private"] = {
            "prefix": "/app/private/",
            "service": "app",
            "workspaces": ["poor"],
        }
        cls.fleet.apply_config(kinds)
        for number in range(3):
            cls.fleet.make_node(f"n{number}", f"z{number % 2}")
        cls.fleet.publish_instances()
        cls.fleet.start_nodes()
        cls.ports = [node.listen_port for node in cls.fleet.node_by_name.values()]
        cls.key = make_api_key("blom")

    def headers(self, key=None):
        return {"authorization": f"Bearer {key or self.key}"}

    def test_stream_is_complete_through_every_router(self):
        for port in self.ports:
            answer = call_chat(port, self.key, CHAT)
            self.assertEqual(answer.status, 200)
            self.assertTrue(answer.is_complete)
            self.assertEqual(answer.text, make_expected_text(CHAT, 32))

    def test_unstreamed_answer_equals_stream(self):
        answer = call_chat(self.ports[0], self.key, CHAT, is_stream=False)
        self.assertEqual(answer.text, make_expected_text(CHAT, 32))

    def test_openai_client_works_unchanged(self):
        client = openai.OpenAI(
            api_key=self.key, base_url=f"http://{HOST}:{self.ports[1]}/v1"
        )
        self.addCleanup(client.close)
        self.assertEqual([model.id for model in client.models.list()], ["m1"])
        response = client.chat.completions.create(
            model="m1", messages=CHAT, max_tokens=12
        )
        self.assertEqual(
            response.choices[0].message.content, make_expected_text(CHAT, 12)
        )
        stream = client.chat.completions.create(
            model="m1",
            messages=CHAT,
            max_tokens=12,
            stream=True,
            stream_options={"include_usage": True},
        )
        chunks = list(stream)
        text = "".join(c.delta.content or "" for p in chunks for c in p.choices)
        self.assertEqual(text, make_expected_text(CHAT, 12))
        self.assertGreater(chunks[-1].usage.prompt_tokens, 1000)
        text = client.completions.create(model="m1", prompt="Hello", max_tokens=4)
        self.assertEqual(len(text.choices[0].text.split()), 4)
        with self.assertRaises(openai.NotFoundError):
            client.completions.create(model="unknown", prompt="Hello")

    def test_key_never_reaches_an_upstream(self):
        body = b'{"order": 1}'
        for headers in (
            {"authorization": f"Bearer {self.key}"},
            {"x-api-key": self.key},
            {"authorization": f"bearer {self.key}", "x-api-key": self.key},
        ):
            answer = call_http(self.ports[0], "POST", "/app/x", body, headers)
            self.assertEqual(answer.status, 200, answer.body)
            call_chat(self.ports[0], self.key, CHAT, max_tokens=2)
        misplaced = [
            (f"/app/x?key={self.key}", b"", {}),
            ("/app/x", self.key.encode(), {}),
            ("/app/x", b"", {"cookie": f"key={self.key}"}),
            ("/open/x", b"", {"x-other": self.key}),
        ]
        for path, body, extra in misplaced:
            headers = {"x-api-key": self.key, **extra}
            answer = call_http(self.ports[0], "POST", path, body, headers)
            self.assertEqual(answer.error["code"], "misplaced_key")
            self.assertTrue(answer.is_not_run)
        headers = {"authorization": f"Basic {self.key}"}
        call_http(self.ports[0], "POST", "/open/x", b"", headers)
        leaked_keys = [self.fleet.read_service_counts("s0")["leaked_keys"]]
        for name in ("e0", "e1"):
            leaked_keys.append(self.fleet.read_engine_counts(name)["leaked_keys"])
        self.assertEqual(leaked_keys, [0, 0, 0])

    def test_keys_and_routes_are_checked(self):
        port = self.ports[2]
        cases = [
            ("/v1/models", {}, 401, "invalid_api_key"),
            ("/v1/models", {"x-api-key": "nonsense"}, 401, "invalid_api_key"),
            ("/v1/models", self.headers(self.key + "x"), 401, "invalid_api_key"),
            ("/nowhere", self.headers(), 404, "not_found"),
            ("/app/private/x", self.headers(), 403, "route_not_allowed"),
            (
                "/app/x",
                {**self.headers(), "x-api-key": make_api_key("poor")},
                400,
                "ambiguous_key",
            ),
        ]
        for path, headers, status, code in cases:
            answer = call_http(port, "GET", path, headers=headers)
            self.assertEqual((answer.status, answer.error["code"]), (status, code))
            self.assertTrue(answer.is_not_run)
        answer = call_http(
            port, "GET", "/app/private/x", headers=self.headers(make_api_key("poor"))
        )
        self.assertEqual(answer.status, 200)
        self.assertEqual(call_http(port, "GET", "/open/x").status, 200)

    def test_invalid_bodies_get_error_codes(self):
        bodies = {
            b"{": "invalid_json",
            b"[]": "invalid_json",
            b"{}": "missing_model",
            b'{"model": "m1"}': "missing_messages",
            b'{"model": "m1", "messages": [3]}': "invalid_message",
            b'{"model": "m1", "messages": [{"role": "user"}], "max_tokens": -1}': (
                "invalid_max_tokens"
            ),
            b'{"model": "m1", "n": 2}': "unsupported_n",
        }
        for body, code in bodies.items():
            answer = call_http(
                self.ports[0], "POST", "/v1/chat/completions", body, self.headers()
            )
            self.assertEqual(answer.error["code"], code, body)

    def test_service_call_is_forwarded_unchanged(self):
        answer = call_http(
            self.ports[0],
            "PUT",
            "/app/orders/7?urgent=1",
            b"lilies",
            {
                **self.headers(),
                "x-shop": "akureyri",
                "connection": "x-hop",
                "x-hop": "1",
            },
        )
        self.assertEqual(json.loads(answer.body)["call"], "PUT /app/orders/7 lilies")
        seen = self.fleet.read_service_counts("s0")["last_headers"]
        self.assertEqual(seen["x-shop"], "akureyri")
        self.assertNotIn("x-hop", seen)
        self.assertEqual(seen["x-request-id"], answer.headers["x-request-id"])

    def test_rate_limit_refusal_has_retry_after(self):
        key = make_api_key("poor")
        messages = make_messages("a", "b" * 100)
        answers = [
            call_chat(port, key, messages, max_tokens=20)
            for port in (self.ports * 2)[:5]
        ]
        refused = [answer for answer in answers if answer.status == 429]
        self.assertTrue(refused)
        self.assertGreaterEqual(int(refused[0].headers["retry-after"]), 1)
        self.assertTrue(refused[0].is_not_run)
        too_large = call_chat(self.ports[0], key, messages, max_tokens=200)
        self.assertEqual(too_large.error["code"], "larger_than_burst")

    def test_dumps_metrics_and_logs_show_no_key(self):
        call_chat(self.ports[0], self.key, CHAT, max_tokens=2)
        node = self.fleet.node_by_name["n0"]
        secret = self.key.split("_", 2)[2]
        dump = json.dumps(self.fleet.dump_router("n0"))
        dump += json.dumps(self.fleet.dump_agent("n0"))
        metrics = call_http(node.router_ops_port, "GET", "/metrics").body.decode()
        self.assertIn("catkintrack_first_token_seconds_bucket", metrics)
        logs = "".join(p.read_log() for p in self.fleet.process_by_name.values())
        for text in (dump, metrics, logs):
            self.assertNotIn(secret, text)

    def test_config_show_prints_no_digest(self):
        ports = [n.router_ops_port for n in self.fleet.node_by_name.values()]
        ports += [n.agent_ops_port for n in self.fleet.node_by_name.values()]
        addresses = ",".join(f"{HOST}:{port}" for port in ports)

        def is_revision_uniform():
            dumps = [self.fleet.dump_agent(name) for name in self.fleet.node_by_name]
            return len({dump["revision"] for dump in dumps}) == 1

        wait_until(is_revision_uniform)
        result = self.fleet.run_cli("config", "show", "--json")
        self.assertEqual(result.returncode, 0, result.stderr)
        self.assertNotIn("digest", result.stdout)
        self.assertIn('"revision"', result.stdout)
        self.assertEqual(len(addresses.split(",")), 6)


if __name__ == "__main__":
    unittest.main()
