"""
standin.callers
~~~~~~~~~~~~~~~

Callers that send bounded load from threads, and the judge of what came
of it.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import json
import threading
import time
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException

PAUSE_SECONDS = 0.005


@dataclass(slots=True)
class Result:
    """What one request came to.

    `run`
        `whole`, `not_run`, `unknown`, `wrong` (another's answer) or `none`
        when the entry itself did not answer.
    """

    name: str
    service: str
    run: str
    status: int
    code: str
    vm: str
    seconds: float
    at: float


@dataclass(slots=True)
class Verdict:
    """The sums over all results, judged by what the minions counted."""

    sent: int = 0
    answered_whole: int = 0
    refused_not_run: int = 0
    unknown: int = 0
    no_answer: int = 0
    wrong_answer: int = 0
    ran_twice: int = 0
    not_run_but_ran: int = 0
    codes: dict[str, int] = field(default_factory=dict)

    def broken(self):
        """Return the names of the promises that were broken."""
        return [
            name
            for name in ("wrong_answer", "ran_twice", "not_run_but_ran")
            if getattr(self, name)
        ]


class Callers:
    """Threads that send requests one after another until stopped.

    `addresses`
        `IP:port` of the entries.
    `services`
        Names of services and whether each is repeatable.
    `threads`
        How many callers. Default: 8.
    """

    def __init__(self, addresses, services, threads=8):
        self.addresses = addresses
        self.services = services
        self.threads = [
            threading.Thread(target=self.run, args=(number,), daemon=True)
            for number in range(threads)
        ]
        self.stopping = threading.Event()
        self.results = []

    def start(self):
        """Start all callers."""
        for thread in self.threads:
            thread.start()
        return self

    def stop(self):
        """Stop all callers and wait for their last answers."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def run(self, number):
        """Send requests until stopped."""
        connections = {}
        count = 0
        while not self.stopping.is_set():
            service, repeatable = self.services[count % len(self.services)]
            address = self.addresses[(count + number) % len(self.addresses)]
            name = f"{number}-{count}-{service}"
            self.results.append(
                self.send(connections, address, service, repeatable, name)
            )
            count += 1
            self.stopping.wait(PAUSE_SECONDS)

    def send(self, connections, address, service, repeatable, name):
        """Send one request; return its `Result`."""
        started = time.monotonic()
        connection = connections.get(address)
        if connection is None:
            connection = connections[address] = HTTPConnection(address, timeout=10)
        headers = {"Request-Name": name}
        if not repeatable:
            headers["Idempotency-Key"] = name
        try:
            connection.request("POST", f"/s/{service}/x", name.encode(), headers)
            response = connection.getresponse()
            body = response.read()
        except (OSError, HTTPException):
            connections.pop(address).close()
            return self.result(name, service, "none", 0, "", "", started)
        return self.judge_answer(name, service, response.status, body, started)

    def judge_answer(self, name, service, status, body, started):
        """Return the `Result` of an answer."""
        try:
            answer = json.loads(body)
        except ValueError:
            run = "wrong" if status < 400 else "unknown"
            return self.result(name, service, run, status, "no_json", "", started)
        if "code" in answer:
            run = answer.get("run", "unknown")
            return self.result(name, service, run, status, answer["code"], "", started)
        own = answer["name"] == name and answer["echo"] == name
        run = "whole" if own else "wrong"
        return self.result(name, service, run, status, "", answer["vm"], started)

    def result(self, name, service, run, status, code, vm, started):
        """Return a `Result` with its times."""
        now = time.monotonic()
        return Result(name, service, run, status, code, vm, now - started, now)

    def verdict(self, ran_by_name):
        """Judge all results by what the minions really ran."""
        verdict = Verdict(sent=len(self.results))
        unrepeatable = {name for name, repeatable in self.services if not repeatable}
        for result in self.results:
            ran = ran_by_name.get(result.name, 0)
            verdict.answered_whole += result.run == "whole"
            verdict.refused_not_run += result.run == "not_run"
            verdict.unknown += result.run == "unknown"
            verdict.no_answer += result.run == "none"
            verdict.wrong_answer += result.run == "wrong"
            verdict.ran_twice += result.service in unrepeatable and ran > 1
            verdict.not_run_but_ran += result.run == "not_run" and ran > 0
            if result.code:
                verdict.codes[result.code] = verdict.codes.get(result.code, 0) + 1
        return verdict
