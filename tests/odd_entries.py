"""Entries as another writer may leave them among those of the upstreams.

Most have the address of an upstream and lack what every upstream writes, or have it in another
form. The others name another service or another port of its VM.
"""

import base64
import json
import random

from hypothesis import strategies as st

MAX_VALUE_BYTES = 1 << 20  # of an entry, as the store accepts it
NESTING = (50, 900, 1_100, 1_500, 20_000, 400_000)
NUMBERS = (
    *("-1", "65536", "100000", "2147483648", "9223372036854775808", "18446744073709551616"),
    *("1e19", "1e400", "-1e400", "0.5", "-0.0", "1E+2", "true"),
    *("1" + "0" * 30, "9" * 400, "9" * 5_000),
)
WRONG_TYPES = ("null", '"3"', "[]", "{}", "[3]", '{"value":3}', "false", '""')
PORTS = (
    *("0", "-1", "65536", "99999999999", "8_0", "+80", "http", "0x50", "080"),
    *("", " 80", "80 ", "\u0668\u0660"),
)
HOSTS = (
    *("nowhere", "256.1.1.1", "10.1.1", "10.1.1.1.1", "::1", "[::1]", "0.0.0.0"),
    *("08.1.1.1", "255.255.255.255"),
    *("224.0.0.1", "0x7f.0.0.1", "10.1.1.\\u0000", "10.1.1.1\\n", "\uff11\uff10.1.1.1"),
    "",
)
TEXTS = (
    *("", " ", "\\u0000", "\\n", "\\ud800", "'; --", "{{a}}"),
    *("\U0001d54a" * 300, "a" * 201, "a" * 700_000),
)
SHAPES = (
    *(b"", b" ", b"null", b"3", b"[]", b"{}", b'"ready"', b"[[]]", b"{", b"}", b'{"service":'),
    *(b"\xff\xfe", b"\x00", b"\xef\xbb\xbf{}", b"\x80\x81", b"NaN", b"\x1f\x8b"),
    b"{'service': 'spend'}",
)


def entry_text(address: str, service: str, /, **fields: str) -> bytes:
    """Returns an entry with all fields; `fields` are JSON texts that replace or add some."""
    entry = {
        "service": json.dumps(service),
        "address": json.dumps(address),
        "zone": '"bud-a"',
        "version": '"v1"',
        "slots": "3",
        "state": '"ready"',
        "coldRemainingMs": "0",
        "seq": "1",
        **fields,
    }
    return ("{" + ",".join(f'"{name}":{value}' for name, value in entry.items()) + "}").encode()


def list_odd_entries(address: str, service: str) -> dict[str, bytes]:
    """Returns one odd entry of each kind by a name.

    Args:
        address: Address that the entries name; that of an upstream is the hardest case.
        service: Service that the entries name unless it is the odd field.
    """
    host, _, port = address.rpartition(":")
    sound = entry_text(address, service)
    odd = {f"shape-{number}": value for number, value in enumerate(SHAPES)}
    for depth in NESTING:
        if depth > 1_000:  # what the decoder reads is an entry with one field more
            odd[f"closed-{depth}"] = entry_text(address, service, more="[" * depth + "]" * depth)
        odd[f"nested-{depth}"] = b'{"members":' + b"[" * depth
        odd[f"objects-{depth}"] = b'{"a":' * min(depth, 100_000)
        odd[f"slots-{depth}"] = entry_text(address, service, slots="[" * depth + "]" * depth)
    for field in ("slots", "coldRemainingMs", "seq", "born"):
        usable = {"slots": (), "coldRemainingMs": ("0.5", "-0.0", "1E+2", "65536", "100000")}
        usable["seq"] = usable["born"] = ("65536", "100000", "2147483648")
        for value in {*NUMBERS, *WRONG_TYPES} - set(usable[field]):
            odd[f"{field}-{value[:30]}"] = entry_text(address, service, **{field: value})
    for value in PORTS:
        text = json.dumps(f"{host}:{value}")
        odd[f"port-{value}"] = entry_text("", service, address=text)
    for value in HOSTS:
        odd[f"host-{value}"] = entry_text("", service, address=f'"{value}:{port}"')
    for field in ("service", "address", "zone", "version", "state"):
        for value in WRONG_TYPES[:-1]:
            if value != '"3"' or field in ("address", "state"):
                odd[f"{field}-{value}"] = entry_text(address, service, **{field: value})
    for value in TEXTS:
        for field in ("service", "state"):
            odd[f"{field}-{value[:9]}"] = entry_text(address, service, **{field: f'"{value}"'})
    for field in ("service", "address", "zone", "version", "slots", "state", "seq"):
        left = {name: one for name, one in json.loads(sound).items() if name != field}
        odd[f"without-{field}"] = json.dumps(left).encode()
    odd["utf-16"] = sound.decode().encode("utf-16")
    odd["latin-1"] = entry_text(address, service, more='"\\u00fc"').replace(b"\\u00fc", b"\xfc")
    odd["array"] = json.dumps(list(json.loads(sound).values())).encode()
    odd["in-a-list"] = b"[" + sound + b"]"
    odd["in-an-object"] = b'{"entry":' + sound + b"}"
    odd["twice"] = sound + sound
    odd["quoted"] = json.dumps(sound.decode()).encode()
    odd["base64"] = base64.b64encode(sound)
    odd["cut"] = sound[:-1]
    odd["largest"] = b"x" * MAX_VALUE_BYTES
    odd["spaces"] = b" " * (MAX_VALUE_BYTES - len(sound)) + sound[:-1]
    odd["other-service"] = entry_text(address, "object-cache")
    odd["other-port"] = entry_text(f"{host}:6379", service)
    return odd


def pick_odd_entries(address: str, service: str, count: int, seed: int) -> dict[str, bytes]:
    """Returns some of the odd entries, drawn at random."""
    odd = list_odd_entries(address, service)
    names = random.Random(seed).sample(sorted(odd), count)
    return {name: odd[name] for name in names}


json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False)
    | st.text()
    | st.sampled_from(("ready", "draining", "spend", "bud-a", "v1", "10.1.1.1:8080")),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=8,
)


@st.composite
def odd_values(draw: st.DrawFn, address: str, service: str) -> bytes:
    """Draws the bytes of an entry: any bytes, any JSON text, or an entry with odd fields."""
    kind = draw(st.sampled_from(("bytes", "json", "fields", "listed", "cut")))
    if kind == "bytes":
        return draw(st.binary(max_size=200))
    if kind == "json":
        return json.dumps(draw(json_values)).encode()
    if kind == "listed":
        odd = list_odd_entries(address, service)
        return odd[draw(st.sampled_from(sorted(odd)))]
    sound = entry_text(address, service)
    if kind == "cut":
        return sound[: draw(st.integers(0, len(sound) - 1))]
    fields = json.loads(sound)
    names = draw(st.lists(st.sampled_from(sorted(fields)), min_size=1, unique=True))
    for name in names:
        fields[name] = draw(json_values)
    return json.dumps(fields).encode()
