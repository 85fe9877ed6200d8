"""Send prompts that crash each replica that begins to answer them."""

import json
import unittest

from testkit.fleet import wait_until
from testkit.site import PROMPT_HEADERS, open_site

NODES = 3
MODELS = 4
CRASHING_PART = "dd"


def make_prompt_headers(*parts):
    """Return the headers of a prompt of these parts."""
    prefix = ",".join(f"{part}:200" for part in parts)
    return PROMPT_HEADERS | {"X-Prompt-Prefix": prefix}


def find_call(node, id):
    """Return the log record of the end of a call."""
    for line in node.process.read_log().splitlines():
        if line.startswith("{") and line.endswith("}") and id in line:
            record = json.loads(line)
            if record["message"] == "call ended":
                return record
    return None


class CrashLogTest(unittest.TestCase):
    def test_log_tells_how_far_a_broken_attempt_got(self):
        with open_site(nodes=1, models=1, apps=1) as site:
            site.set_replica_faults("m0", crash_part=CRASHING_PART)
            site.stream("n0", id="poison", **make_prompt_headers("aa", "dd", "e1"))
            node = site.node_by_name["n0"]
            record = wait_until(lambda: find_call(node, "poison"), 5)
        attempt = record["attempts"][0]
        self.assertTrue(attempt["has_begun"])
        self.assertFalse(attempt["has_event"])
        self.assertEqual(attempt["parts"], ["aa", "dd", "e1"])


if __name__ == "__main__":
    unittest.main()
