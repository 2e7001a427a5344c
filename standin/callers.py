"""
standin.callers
~~~~~~~~~~~~~~~

Callers that send closed-loop load from threads and check the results
against what the minions ran.

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
    """The result of one request.

    `run`
        `whole` (complete answer), `not_run`, `unknown`, `wrong` (the answer of
        another request) or `none` if the entry itself did not answer.
    `status`, `code`
        HTTP status, 0 without an answer, and error code.
    `vm`
        VM of the minion that answered.
    `seconds`, `at`
        Duration, and monotonic time of the end.
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
    """Counts over all results, checked against what the minions ran.

    `ran_twice`
        Requests of non-repeatable services that ran more than once.
    `not_run_but_ran`
        Requests refused as not run that did run.
    `codes`
        Number of refusals by error code.
    """

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
        """Return the names of the violated guarantees."""
        return [
            name
            for name in ("wrong_answer", "ran_twice", "not_run_but_ran")
            if getattr(self, name)
        ]


class Callers:
    """Threads that each send one request after another until stopped.

    `addresses`
        `IP:port` of the entries.
    `services`
        Pairs of a service's name and whether it is repeatable.
    `threads`
        Number of callers. Default: 8.
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
        """Start all callers; return this object."""
        for thread in self.threads:
            thread.start()
        return self

    def stop(self):
        """Stop all callers and wait until their last requests end."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def run(self, number):
        """Send requests to the entries and services in turn until stopped."""
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
        return self.classify_answer(name, service, response.status, body, started)

    def classify_answer(self, name, service, status, body, started):
        """Return the `Result` for an answer; check that it echoes this request."""
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
        """Return a `Result` that ends now."""
        now = time.monotonic()
        return Result(name, service, run, status, code, vm, now - started, now)

    def verdict(self, ran_by_name):
        """Return the `Verdict` on all results.

        `ran_by_name`
            How often the minions ran each request.
        """
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
