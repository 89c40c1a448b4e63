"""Property tests of the reader: typed findings for anything, and nothing lost."""

import re
from typing import Any, get_args, get_type_hints

from hypothesis import given, settings
from hypothesis import strategies as st

from buckthornshed.errors import ConfigurationError
from buckthornshed.protocol.configuration import Source, check_set, read_set
from buckthornshed.protocol.published import decode_published, encode_published
from buckthornshed.state.objects import ConfigurationSet
from buckthornshed.tests.small_set import FILE, TEXT, read_text, small_set

REPEATABLE = settings(derandomize=True, deadline=None, max_examples=200)

KIND_TYPES = {
    kind: get_args(hint)[1] for kind, hint in get_type_hints(ConfigurationSet).items()
}
KINDS: Any = small_set()
NAMES = sorted({name for named in KINDS.values() for name in named})
FIELDS = sorted(
    {field for each in KIND_TYPES.values() for field in each.__annotations__}
)

MARKS = ["[", "]", '"', "'", '"""', "'''", "=", "#", "\n", ".", "{", "}", ",", "[["]
VALUES = ["1", "-1", "nan", "1e999", "0x" + "f" * 5_000, "1979-05-27", "true", "\0"]
TOKENS = [*MARKS, *VALUES, *NAMES, *FIELDS, *KIND_TYPES]

fragments = st.lists(st.sampled_from(TOKENS), max_size=6).map("".join)

scalars = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=5)
    | st.dates()
    | st.sampled_from(NAMES)
    | st.sampled_from(["127.0.0.1:1", "127.0.0.1:2", "/stalls", "GET", "booking"])
)
values = st.recursive(
    scalars,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(NAMES) | st.text(max_size=5), inner)
    ),
    max_leaves=5,
)
objects_of = st.dictionaries(st.sampled_from(FIELDS), values, max_size=6) | values
structures = st.dictionaries(
    st.sampled_from(sorted(KIND_TYPES)) | st.text(max_size=5),
    st.dictionaries(st.sampled_from(NAMES) | st.text(max_size=5), objects_of) | values,
    max_size=4,
)


def assert_sound(findings):
    assert list(findings) == sorted(set(findings))
    for each in findings:
        assert all(isinstance(part, str) for part in each)
        assert each.found
        assert each.expected


@REPEATABLE
@given(st.binary() | st.text().map(str.encode) | fragments.map(str.encode))
def test_any_bytes_give_findings_or_a_set(data):
    assert_sound(read_set([Source(FILE, data)]).findings)


@REPEATABLE
@given(
    st.integers(0, len(TEXT)),
    st.integers(0, 30),
    fragments,
)
def test_damaged_set_loses_no_object_and_no_fault(start, length, fragment):
    text = TEXT[:start] + fragment + TEXT[start + length :]
    reading: Any = read_text(text)
    assert_sound(reading.findings)
    if not reading.findings:
        value = encode_published(reading.objects, 1)
        assert decode_published(value).objects == reading.objects
    whole = TEXT[:start].rpartition("\n")[0] + TEXT[start + length :].partition("\n")[2]
    named = {each.object for each in reading.findings}
    for kind, name in re.findall(r"^\[(\w+)\.([\w-]+)\]$", whole, re.MULTILINE):
        assert name in reading.objects.get(kind, {}) or f"{kind}.{name}" in named


@settings(REPEATABLE, max_examples=60)
@given(structures)
def test_any_structure_gives_findings(structure):
    findings = check_set(structure)
    assert_sound(findings)
    named = " ".join(each.object for each in findings)
    for kind in structure.keys() - KIND_TYPES.keys():
        assert repr(kind) in named


@REPEATABLE
@given(st.sampled_from(sorted(KIND_TYPES)), st.sampled_from(NAMES), objects_of)
def test_any_object_in_a_good_set_is_taken_or_found(kind, name, value):
    objects: Any = small_set()
    objects[kind][name] = value
    if not check_set(objects):
        decoded: Any = decode_published(encode_published(objects, 1))
        assert decoded.objects[kind][name] == value


@REPEATABLE
@given(st.integers(0, 400), st.integers(0, 255), st.binary(max_size=3))
def test_damaged_value_is_refused_with_a_typed_error(place, byte, more):
    value = bytearray(encode_published(small_set(), 7))
    place %= len(value)
    unchanged = value[place] == byte and not more
    value[place] = byte
    try:
        published = decode_published(bytes(value) + more)
    except ConfigurationError:
        assert not unchanged
    else:
        assert published.objects == small_set()
