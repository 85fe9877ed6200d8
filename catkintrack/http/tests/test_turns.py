"""Let other tasks run while a peer sends small parts faster than they are read."""

import socket
import unittest

import curio

from catkintrack.http import (
    Address,
    Exchange,
    Request,
    ServerLimits,
    UpstreamExchangeError,
    UpstreamTimeout,
    open_server,
)
from testkit.raw_upstreams import HEAD, make_chunk

REQUEST = Request(b"GET", b"/", ((b"host", b"x"), (b"x-request-id", b"r1")))
PART = make_chunk(b"x" * 64)
BODY_BYTES = 1 << 20
MAX_PARTS_A_TURN = 64
MIN_TURNS = BODY_BYTES // 64 // MAX_PARTS_A_TURN


class ReadySocket:
    """Hold bytes that can be read without waiting, and then a close."""

    def __init__(self, data):
        self.data = data
        self._socket = self

    def send(self, data):
        return len(data)

    def recv(self, size):
        data, self.data = self.data[:size], self.data[size:]
        return data


async def count_turns(task):
    """Return how often another task ran until `task` ended."""
    turns = 0
    while not task.terminated:
        await curio.sleep(0)
        turns += 1
    return turns


class TurnTest(unittest.TestCase):
    """Guard against small parts that stopped an instance (review case 5)."""

    def count_turns_while_reading(self, data):
        async def read():
            exchange = Exchange(Address("127.0.0.1", 1), ReadySocket(data))
            await exchange.send(REQUEST)
            await exchange.read_head(30.0)
            await exchange.read_body(30.0)

        async def run():
            task = await curio.spawn(read)
            turns = await count_turns(task)
            self.assertIsInstance(task.exception, UpstreamExchangeError)
            return turns

        return curio.run(run)

    def test_other_tasks_run_while_a_body_arrives_in_small_chunks(self):
        data = HEAD + b"\r\n" + PART * (BODY_BYTES // 64)
        self.assertGreater(self.count_turns_while_reading(data), MIN_TURNS)

    def test_body_of_small_chunks_that_are_at_hand_ends_in_time(self):
        """Guards against a timeout that applied only while no data was at hand."""
        data = HEAD + b"\r\n" + make_chunk(b"x") * 200_000

        async def read():
            exchange = Exchange(Address("127.0.0.1", 1), ReadySocket(data))
            await exchange.send(REQUEST)
            await exchange.read_head(30.0)
            await exchange.read_body(0.2)

        with self.assertRaises(UpstreamTimeout):
            curio.run(read)

    def test_other_tasks_run_while_informational_responses_arrive(self):
        data = b"HTTP/1.1 102 Processing\r\n\r\n" * 100 * MAX_PARTS_A_TURN
        self.assertGreater(self.count_turns_while_reading(data), 100)

    def test_other_tasks_run_while_a_caller_sends_small_chunks(self):
        head = (
            b"POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n"
            b"transfer-encoding: chunked\r\n\r\n"
        )
        limits = ServerLimits(max_body_bytes=2 * BODY_BYTES)

        has_arrived = curio.Event()

        async def handle(request, connection):
            await has_arrived.set()
            await connection.respond(200, (), str(len(request.body)).encode())

        async def run():
            async with open_server("127.0.0.1", 0, handle, limits) as server:
                address = Address("127.0.0.1", server.port)
                # In a thread, so that only the server's task takes turns.
                task = await curio.spawn(
                    curio.run_in_thread, send_and_read, address, head
                )
                turns = 0
                while not has_arrived.is_set():
                    await curio.sleep(0)
                    turns += any(c.is_receiving for c in server.connections)
                self.assertIn(str(BODY_BYTES).encode(), await task.join())
                return turns

        self.assertGreater(curio.run(run), MIN_TURNS)


def send_and_read(address, head):
    with socket.create_connection((address.host, address.port)) as sock:
        sock.sendall(head + PART * (BODY_BYTES // 64) + b"0\r\n\r\n")
        return b"".join(iter(lambda: sock.recv(65536), b""))


if __name__ == "__main__":
    unittest.main()
