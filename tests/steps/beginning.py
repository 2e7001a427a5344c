"""Steps that set up a scenario."""

from pytest_bdd import given, parsers


@given("a running system")
def running(scene):
    scene.start()


@given(parsers.parse("a running system with {count:d} planners"))
def running_with_planners(scene, count):
    scene.start(planners=count)


@given("a running system with relays")
def running_with_relays(scene):
    scene.start(with_relays=True)


@given(parsers.parse("a running system with {count:d} callers"))
def running_with_callers(scene, count):
    scene.callers_count = count
    scene.start()


@given("a running system with a second pool of prescriptions")
def running_with_second_pool(scene):
    scene.start()
    second = {"kind": "pool", "name": "second", "selector": "color=green"}
    scene.put("prescriptions", second)
    first = {"kind": "pool", "name": "prescriptions-pool", "gives": "color=green"}
    scene.put("prescriptions", first)


@given("callers send requests")
def callers(scene):
    scene.start_callers()


@given("every replica is watched for versions")
def watch_versions(scene):
    scene.watch_versions()


@given("every replica is watched for pools")
def watch_pools(scene):
    scene.watch_pools()
