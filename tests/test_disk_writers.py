"""Nothing writes to a data folder except through `hingepitch.disk`.

A file that was written beside it was not synced as the others are, and no test
took its power away: that kept control programs from starting. So the calls that
write are looked for in the code, not at run time.
"""

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
FOLDERS = ("hingepitch", "platform")

#: The one module that writes; code made by the thrift compiler writes nothing.
DISK_MODULE = "hingepitch/disk.py"
GENERATED = "hingepitch/gen/"

#: What may be written elsewhere, by module and function: the lock, whose content
#: says nothing, the report of a load run, and log lines to the standard streams.
ALLOWED = {
    ("hingepitch/control/storage.py", "take_lock"),
    ("hingepitch/load/program.py", "run"),
    ("hingepitch/logsink.py", "write_at_once"),
}

WRITE_MODES = frozenset("wax+")

#: Calls that change a file or a name, whatever they are called on.
WRITING_CALLS = frozenset(
    """
    fdatasync fdopen fsync ftruncate hardlink_to makedirs mkstemp pwrite pwritev
    rename renames rmtree symlink symlink_to touch truncate unlink write_bytes
    write_text writev
    """.split()
)

#: Of those, what the `hingepitch.disk` seam has too.
SEAM_CALLS = frozenset(("rename", "truncate"))
SEAM_OWNERS = ("self.disk", "disk", "file", "self.file", "self.segment")

#: Of these modules only: other objects have methods of such names.
MODULES = ("os", "shutil")
MODULE_CALLS = frozenset(
    "copy copy2 copyfile copytree link move open remove replace rmdir write".split()
)


def modules():
    """Return the paths of the code that must not write."""
    paths = (path for name in FOLDERS for path in (ROOT / name).rglob("*.py"))
    names = {path.relative_to(ROOT).as_posix(): path for path in paths}
    return {
        name: path
        for name, path in sorted(names.items())
        if name != DISK_MODULE and not name.startswith(GENERATED)
    }


def is_write_mode(call):
    """Whether an `open` may write: any mode that is not a plain word counts."""
    modes = call.args[1:2] if isinstance(call.func, ast.Name) else call.args[:1]
    modes += [word.value for word in call.keywords if word.arg == "mode"]
    return any(
        not isinstance(mode, ast.Constant) or WRITE_MODES & set(str(mode.value))
        for mode in modes
    )


def is_writing(call):
    """Whether a call writes to a file, or changes a name, beside the seam."""
    function = call.func
    if isinstance(function, ast.Name):
        return function.id in WRITING_CALLS or (
            function.id == "open" and is_write_mode(call)
        )
    if not isinstance(function, ast.Attribute):
        return False
    owner = ast.unparse(function.value)
    if function.attr in MODULE_CALLS and owner in MODULES:
        return True
    if function.attr == "open" and owner not in SEAM_OWNERS:
        return bool(call.args) and is_path_mode(call)
    is_seam = function.attr in SEAM_CALLS and owner in SEAM_OWNERS
    return function.attr in WRITING_CALLS and not is_seam


def is_path_mode(call):
    """Whether the first argument is a mode to write with, as of `Path.open`."""
    mode = call.args[0]
    return isinstance(mode, ast.Constant) and bool(WRITE_MODES & set(str(mode.value)))


def writing_places(name, text):
    """Yield `(module, function, line)` of each call that writes."""
    tree = ast.parse(text)
    owner_by_node = {}
    for node in ast.walk(tree):
        if isinstance(node, ast.FunctionDef):
            owner_by_node.update((id(one), node.name) for one in ast.walk(node))
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and is_writing(node):
            yield name, owner_by_node.get(id(node), ""), node.lineno


def test_only_the_disk_module_writes():
    found = [
        place
        for name, path in modules().items()
        for place in writing_places(name, path.read_text(encoding="utf-8"))
    ]
    assert [place for place in found if place[:2] not in ALLOWED] == []
    assert {place[:2] for place in found} == ALLOWED


@pytest.mark.parametrize(
    "text",
    [
        "open(path, 'w')",
        "open(path, mode='ab')",
        "open(path, mode)",
        "path.open('wb')",
        "path.write_text('x')",
        "path.write_bytes(b'x')",
        "path.unlink()",
        "path.rename(other)",
        "os.rename(path, other)",
        "os.replace(path, other)",
        "os.remove(path)",
        "os.truncate(path, 0)",
        "os.open(path, os.O_RDWR)",
        "shutil.move(path, other)",
    ],
)
def test_a_call_that_writes_is_found(text):
    assert list(writing_places("name", text)) == [("name", "", 1)]


@pytest.mark.parametrize(
    "text",
    ["open(path)", "open(path, 'rb')", "self.disk.rename(a, b)", "file.truncate(0)"],
)
def test_a_call_that_reads_or_goes_through_the_disk_is_not(text):
    assert list(writing_places("name", text)) == []
