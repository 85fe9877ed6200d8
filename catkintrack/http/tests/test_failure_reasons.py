"""Read the reasons of failures, which operators find in the logs."""

import socket
import unittest

import curio

from catkintrack.http import (
    Address,
    ClientLimits,
    Pool,
    UpstreamUnreachable,
    open_exchange,
)
from catkintrack.http.errors import describe_error

HOST = "127.0.0.1"


async def connect(address):
    pool = Pool(ClientLimits(connect_timeout_s=0.1))
    async with open_exchange(pool, address):
        pass


class ReasonTest(unittest.TestCase):
    def test_connection_that_is_not_accepted_in_time_is_named_in_words(self):
        with socket.create_server((HOST, 0), backlog=0) as listener:
            port = listener.getsockname()[1]
            waiting = [socket.socket() for _ in range(4)]
            for sock in waiting:
                sock.setblocking(False)
                sock.connect_ex((HOST, port))
            with self.assertRaises(UpstreamUnreachable) as caught:
                curio.run(connect, Address(HOST, port))
            for sock in waiting:
                sock.close()
        self.assertEqual(str(caught.exception), "connect: the time limit has passed")

    def test_no_reason_is_empty_or_a_number(self):
        for error in (OSError(), curio.TaskTimeout(51777.478), TimeoutError()):
            self.assertRegex(describe_error(error), "^[A-Za-z ]+$")


if __name__ == "__main__":
    unittest.main()
