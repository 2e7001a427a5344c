"""Steps that kill, freeze, cut off or stop processes, or fill a disk."""

import resource
import signal

from pytest_bdd import parsers, when

from standin.cluster import wait_for


@when("the leader is killed")
def kill_leader(scene):
    scene.saved_values["leader"] = scene.cluster.wait_leader()
    scene.process(scene.saved_values["leader"]).kill()


@when("the leader is killed in the middle")
def kill_leader_in_the_middle(scene):
    kill_leader(scene)
    for thread in scene.saved_values["threads"]:
        thread.join()


@when("the leader is frozen")
def freeze_leader(scene):
    scene.saved_values["frozen"] = scene.cluster.wait_leader()
    scene.process(scene.saved_values["frozen"]).signal(signal.SIGSTOP)


@when("the leader is cut off")
def cut_leader(scene):
    scene.saved_values["cut"] = scene.cluster.wait_leader()
    scene.cluster.cut_off(scene.saved_values["cut"])


@when("the cut replica is reconnected")
def reconnect_replica(scene):
    for thread in scene.saved_values["threads"]:
        thread.join()
    scene.cluster.reconnect(scene.saved_values["cut"])


@when("a replica takes over")
def other_leader(scene):
    saved_values = scene.saved_values
    gone = (
        saved_values.get("frozen")
        or saved_values.get("cut")
        or saved_values.get("leader")
    )
    scene.wait_other_leader(gone)


@when("the frozen replica is woken")
@when("the frozen planner is woken")
def wake(scene):
    scene.process(scene.saved_values["frozen"]).signal(signal.SIGCONT)


@when("all replicas are killed and started again")
def restart_all(scene):
    for thread in scene.saved_values.get("threads", ()):
        thread.join()
    scene.restart_all()


@when(parsers.parse("the planner is killed after {count:d} reboots"))
def kill_planner(scene, count):
    scene.wait_reboots(count)
    scene.process("p1").kill()


@when("the planner is started again")
def start_planner(scene):
    scene.process("p1").start()


@when(parsers.parse("the active planner is frozen after {count:d} reboots"))
def freeze_planner(scene, count):
    scene.wait_reboots(count)
    names = scene.cluster.planner_names
    wait_for(lambda: any(plans(scene, name) for name in names))
    scene.saved_values["frozen"] = next(name for name in names if plans(scene, name))
    scene.process(scene.saved_values["frozen"]).signal(signal.SIGSTOP)


@when("another planner takes over")
def other_planner(scene):
    others = set(scene.cluster.planner_names) - {scene.saved_values["frozen"]}
    wait_for(lambda: any(plans(scene, name) for name in others), 20)


def plans(scene, name):
    """Whether a planner reports that it plans; False if it does not respond."""
    status = scene.status_of(name)
    return bool(status and status["plans"])


@when(parsers.parse("the entry {name} is cut off"))
def cut_entry(scene, name):
    scene.cluster.cut_off(name)


@when(parsers.parse("the entry {name} is reconnected"))
def reconnect_entry(scene, name):
    scene.cluster.reconnect(name)


@when(parsers.parse("the entry {name} is frozen until its lease has run out"))
def freeze_entry(scene, name):
    scene.process(name).signal(signal.SIGSTOP)
    outcome = scene.put("journeys", {"kind": "pool", "name": "marker"})
    client = scene.cluster.client("journeys")
    assert client.wait_in_force(outcome["version"])


@when(parsers.parse("the entry {name} is woken"))
def wake_entry(scene, name):
    scene.process(name).signal(signal.SIGCONT)


@when("each entry is stopped as planned and started again")
def roll_entries(scene):
    for name in scene.entries:
        scene.stopped.append(scene.process(name).stop())
        scene.process(name).start()
        scene.cluster.wait_entries()


@when("the disk of the leader is full")
def fill_disk(scene):
    name = scene.cluster.wait_leader()
    scene.saved_values["full"] = name
    segments = (scene.cluster.folder / f"data-{name}").glob("segment-*")
    size = max(path.stat().st_size for path in segments)
    limit_file_size(scene, size)


@when("the disk has room again")
def free_disk(scene):
    limit_file_size(scene, resource.RLIM_INFINITY)


def limit_file_size(scene, size):
    """Limit the files of the replica with the full disk to `size` bytes."""
    pid = scene.process(scene.saved_values["full"]).popen.pid
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))
