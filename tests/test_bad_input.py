"""Test invalid input: settings, selectors, HTTP framing, log values, objects."""

from io import BytesIO
from pathlib import Path

import pytest

from hingepitch.control.settings import ControlSettings
from hingepitch.entry.settings import EntrySettings
from hingepitch.error import HingepitchError
from hingepitch.exchange import InvalidAnswer, check_answer_head
from hingepitch.httpd import FramingError, StrictHandler, check_framing
from hingepitch.log import format_pairs
from hingepitch.model.selector import matches, parse_selector
from hingepitch.model.validation import parse_object
from hingepitch.planner.settings import PlannerSettings
from hingepitch.setting import load_settings

EXAMPLES = Path(__file__).parent.parent / "examples"


@pytest.mark.parametrize(
    "name, model",
    [
        ("control", ControlSettings),
        ("entry", EntrySettings),
        ("planner", PlannerSettings),
    ],
)
def test_example_settings_are_valid(name, model):
    assert load_settings(model, EXAMPLES / f"{name}.yaml").name


def test_every_settings_error_is_reported(tmp_path):
    path = tmp_path / "bad.yaml"
    path.write_text(
        "name: c1\nhall: h\nhttp_address: nowhere\nrpc_address: 127.0.0.1:1\n"
        "shared_key: short\ndata_folder: d\nextra: 1\n"
        "peers:\n- {name: c1, address: 127.0.0.1:99999, hall: h}\n"
    )
    with pytest.raises(HingepitchError) as caught:
        load_settings(ControlSettings, path)
    lines = caught.value.detail.splitlines()
    assert "http_address: expected IP:port" in lines
    assert "peers[0].address: expected IP:port" in lines
    assert any(line.startswith("shared_key:") for line in lines)
    assert any(line.startswith("extra:") for line in lines)


@pytest.mark.parametrize("text", ["[", "- just\n- a list\n", "", "\xff\n"])
def test_a_settings_file_without_a_mapping_is_refused(tmp_path, text):
    path = tmp_path / "bad.yaml"
    path.write_bytes(text.encode("latin-1"))
    with pytest.raises(HingepitchError) as caught:
        load_settings(EntrySettings, path)
    assert caught.value.code == "bad_settings"


LABELS = {"tier": "small", "zone": "a"}


@pytest.mark.parametrize(
    "text, expected",
    [
        ("", True),
        ("tier=small", True),
        ("tier==small,zone!=b", True),
        ("tier in (small, large)", True),
        ("tier notin (small)", False),
        ("gone", False),
        ("!gone,zone", True),
        ("gone!=x", True),
        ("gone notin (x)", True),
    ],
)
def test_selector_matches_labels(text, expected):
    assert matches(text, LABELS) is expected


@pytest.mark.parametrize("text", ["=", "a=b c", "a in b", "a in ()", "(", ",", "a=b,"])
def test_bad_selectors_are_refused(text):
    with pytest.raises(HingepitchError) as caught:
        parse_selector(text)
    assert caught.value.code == "bad_selector"


def test_log_value_cannot_add_a_pair_or_line():
    line = format_pairs({"a": 'x\ny=1 "quoted" \\', "b": "plain"})
    assert "\n" not in line
    assert line == 'a="x\\ny=1 \\"quoted\\" \\\\" b=plain'


@pytest.mark.parametrize(
    "document, line",
    [
        ({"kind": "vm", "name": "V 1"}, "name:"),
        ({"kind": "service", "name": "s", "pool": "p", "port": 0}, "port:"),
        ({"kind": "pool", "name": "p", "selector": "=="}, "selector:"),
        ({"kind": "pool", "name": "p", "color": "x"}, "color:"),
        ({"kind": "spoon"}, "kind:"),
        ([], "kind:"),
    ],
)
def test_invalid_object_is_refused_with_the_path_of_the_field(document, line):
    with pytest.raises(HingepitchError) as caught:
        parse_object(document)
    assert caught.value.code == "bad_object"
    assert any(one.startswith(line) for one in caught.value.detail.splitlines())


class Handler(StrictHandler):
    """`StrictHandler` that reads from bytes instead of a connection."""

    def __init__(self, data):
        self.rfile = BytesIO(data)

    def read(self):
        return self.read_request(self.read_requestline())


GOOD = b"POST /x HTTP/1.1\r\nHost: a\r\n"


@pytest.mark.parametrize(
    "head",
    [
        b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        b"Content-Length: 3\r\nContent-Length: 4\r\n",
        b"Content-Length: 3\r\nContent-Length: 3\r\n",
        b"Content-Length: +4\r\n",
        b"Content-Length: 4, 4\r\n",
        b"Content-Length: -1\r\n",
        b"Content-Length : 4\r\n",
        b"X: a\r\n folded\r\n",
        b"X: a\nContent-Length: 4\r\n",
        b"X: a\r\r\n",
        b"X: a\0b\r\n",
        b"Transfer-Encoding: gzip, chunked\r\n",
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        b"no colon\r\n",
        b"X: " + b"a" * 1_000_000 + b"\r\n",
    ],
)
def test_ambiguous_framing_is_refused(head):
    with pytest.raises(ValueError):
        Handler(GOOD + head + b"\r\nbody").read()


def test_bare_line_feed_in_the_request_line_is_refused():
    with pytest.raises(FramingError):
        Handler(b"GET / HTTP/1.1\nHost: a\r\n\r\n").read()


@pytest.mark.parametrize(
    "head", [b"", b"Content-Length: 4\r\n", b"Transfer-Encoding: chunked\r\n"]
)
def test_unambiguous_framing_is_accepted(head):
    handler = Handler(GOOD + head + b"\r\nbody")
    assert handler.read()
    assert handler.headers.get("host") == "a"


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\nX: y\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 20 OK\r\nContent-Length: 1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        b"HTTP/1.1 200 OK\nContent-Length: 1\r\n\r\n",
        b"SMTP ready\r\n\r\n",
    ],
)
def test_answers_with_an_ambiguous_end_are_refused(head):
    with pytest.raises((InvalidAnswer, ValueError)):
        check_answer_head(head, "GET")


def test_answers_without_a_body_need_no_length():
    check_answer_head(b"HTTP/1.1 204 No Content\r\n\r\n", "GET")
    check_framing([])
