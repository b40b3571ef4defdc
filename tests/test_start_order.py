"""A process waits until another process of its instance listens."""

import socket
import threading

from wisteriapulley.settings import Address
from wisteriapulley.start_order import wait_for_listener


def free_address():
    """Return an address at which nothing listens."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return Address(*probe.getsockname())


class TestWaitForListener:
    def test_returns_when_the_other_process_listens(self):
        address, listener = free_address(), socket.socket()
        listen = threading.Timer(0.1, listen_at, (listener, address))
        listen.start()
        assert wait_for_listener(address, 60.0)
        listen.join()
        listener.close()

    def test_gives_up_after_the_maximum_wait(self):
        assert not wait_for_listener(free_address(), 0.05)


def listen_at(listener, address):
    """Bind and listen."""
    listener.bind((address.host, address.port))
    listener.listen()
