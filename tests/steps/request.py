"""Steps in which callers send requests and orders."""

import threading

from pytest_bdd import parsers, when

from standin.cluster import wait_for
from tests.steps.process import kill_leader


@when(parsers.parse("{count:d} requests were answered whole"))
@when(parsers.parse("{count:d} more requests were answered whole"))
def answered(scene, count):
    scene.wait_results("whole", count)


@when(
    parsers.parse(
        "journeys allows {slots:d} slot and {deadline:d} ms at each minion of route"
    )
)
def limit_route(scene, slots, deadline):
    service = scene.cluster.services()[2][1]
    scene.put("journeys", {**service, "slots": slots, "deadline_ms": deadline})


@when(parsers.parse("{count:d} requests were refused as not run"))
def refused(scene, count):
    scene.wait_results("not_run", count)


@when(
    parsers.parse(
        "{orders:d} orders are each sent {times:d} times to every entry "
        "while the leader is killed"
    )
)
def send_orders(scene, orders, times):
    scene.saved_values["orders"] = {f"order-{number}": [] for number in range(orders)}

    def send(entry, key):
        for _ in range(times):
            scene.saved_values["orders"][key].append(scene.order(entry, key))

    threads = [
        threading.Thread(target=send, args=(entry, key), daemon=True)
        for key in scene.saved_values["orders"]
        for entry in scene.entries
    ]
    for number, thread in enumerate(threads):
        thread.start()
        if number == len(threads) // 2:
            kill_leader(scene)
    for thread in threads:
        thread.join()
    settle_orders(scene)


def settle_orders(scene):
    """Send every order until it is answered."""
    for key, answers in scene.saved_values["orders"].items():
        wait_for(
            lambda key=key, answers=answers: (
                answers.append(scene.order("e1", key)) or answers[-1][0] == 200
            ),
            20,
            f"an answer to {key}",
        )


@when(parsers.parse("an order is sent to {name} and {name2} is killed while it runs"))
def order_and_kill(scene, name, name2):
    threading.Thread(target=scene.order, args=(name, "k1"), daemon=True).start()
    wait_for(lambda: scene.cluster.counts()["ran"].get("k1"))
    scene.process(name2).kill()


@when(parsers.parse("the order is sent to {name} until it is called unknown"))
def order_until_unknown(scene, name):
    def is_unknown():
        _, answer = scene.order(name, "k1")
        assert answer["run"] == "unknown"
        return answer["code"] == "key_unknown"

    wait_for(is_unknown, 20, "an unknown outcome")
