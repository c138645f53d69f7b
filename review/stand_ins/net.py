"""Loopback addresses and free ports."""

import random
import socket


class Addresses:
    def __init__(self):
        self.prefix = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        self.count = 0

    def machine(self):
        self.count += 1
        return f"{self.prefix}.{self.count}"

    def port(self, ip):
        for _attempt in range(50):
            port = random.randint(10_000, 30_000)
            with socket.socket() as probe:
                try:
                    probe.bind((ip, port))
                    return port
                except OSError:
                    continue
        raise OSError("no free port")
