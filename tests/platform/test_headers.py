"""Decoding and encoding of the headers of callers and endpoints."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from multidict import CIMultiDict, CIMultiDictProxy

from chutelink.entry.headers import AnswerKind, Dispatch
from chutelink.platform.headers import PlatformHeaderCodec

CODEC = PlatformHeaderCodec()


def headers(**values: str) -> CIMultiDictProxy[str]:
    pairs = {name.replace("_", "-"): value for name, value in values.items()}
    return CIMultiDictProxy(CIMultiDict(pairs))


def test_request_is_decoded():
    meta = CODEC.decode_request(
        headers(
            X_Request_Id="q1",
            X_Deadline_Ms="1500",
            X_Model="m1/a2",
            X_Token_Count="1460,80",
            X_Prompt_Prefix="5c:800,91:410",
            Last_Event_Id="12",
        )
    )
    assert (meta.id, meta.deadline_s, meta.model, meta.adapter) == (
        "q1",
        1.5,
        "m1",
        "a2",
    )
    assert (meta.prompt_tokens, meta.output_tokens, meta.resume_after) == (1460, 80, 12)
    assert [(p.id, p.tokens) for p in meta.prompt] == [("5c", 800), ("91", 410)]


@pytest.mark.parametrize(
    ("value", "resumes"),
    [("q0", "q0"), (" q0 ", "q0"), ("", None), ("q" * 200, "q" * 200)]
    + [("q" * 201, None)],
)
def test_resumed_attempt_is_decoded_unless_overlong(value, resumes):
    meta = CODEC.decode_request(headers(X_Request_Id="q1", Resumes=value))
    assert meta.resumes == resumes


@pytest.mark.parametrize("number", ["9" * 400, "9" * 5000, "-5", "1_0", "\u0663"])
def test_integer_out_of_bounds_is_ignored(number):
    """Such numbers raised OverflowError or ValueError, and gave the caller 500."""
    meta = CODEC.decode_request(
        headers(
            X_Request_Id="q1",
            X_Deadline_Ms=number,
            X_Token_Count=f"{number},2",
            X_Prompt_Prefix=f"p:{number}",
            Last_Event_Id=number,
        )
    )
    assert (meta.deadline_s, meta.resume_after, meta.counted_tokens) == (None,) * 3
    assert (meta.prompt_tokens, meta.prompt) == (0, ())


HEADER_TEXT = (
    st.text(st.characters(codec="ascii"), max_size=20)
    | st.text(max_size=5)
    | st.sampled_from(["9" * 400, "9" * 5000, "1e308", "5e-324", "nan", "-1", "1,2"])
    | st.from_regex(r"\A[A-Z][a-z]{2}, [0-9]+ Jan [0-9]+ 0:0:0 [+-][0-9]+\Z")
)


@given(HEADER_TEXT, HEADER_TEXT)
def test_arbitrary_headers_are_bounded_or_ignored(text, other):
    names = ["X-Deadline-Ms", "X-Token-Count", "Last-Event-Id", "Server-Limit"]
    names += ["Server-Brittle", "X-Cold-Ms", "Retry-After", "X-Prompt-Prefix"]
    values = dict.fromkeys(names, text) | {"X-Request-Id": "q", "Date": other}
    sent = CIMultiDictProxy(CIMultiDict(values))
    meta = CODEC.decode_request(sent)
    numbers = [meta.deadline_s, meta.resume_after, meta.counted_tokens]
    numbers += [part.tokens for part in meta.prompt]
    signals = CODEC.decode_signals(503, sent)
    numbers += [signals.limit_per_s, signals.max_rejections_per_s]
    numbers += [signals.cold_left_s, signals.pause_s]
    assert all(0 <= number <= 1e17 for number in numbers if number is not None)


def test_request_without_an_id_is_none():
    assert CODEC.decode_request(headers(X_Model="m")) is None


@pytest.mark.parametrize("prefix", ["", "5c", "5c:", "5c:x,91:4", ",,"])
def test_malformed_prompt_prefix_yields_no_parts(prefix):
    meta = CODEC.decode_request(headers(X_Request_Id="q", X_Prompt_Prefix=prefix))
    assert meta.prompt == ()


@pytest.mark.parametrize(
    ("status", "values", "kind"),
    [
        (200, {"X_Request_Id": "q", "X_Server_Seal": "s"}, AnswerKind.ANSWERED),
        (500, {"X_Request_Id": "q", "X_Server_Seal": "s"}, AnswerKind.ANSWERED),
        (200, {"X_Request_Id": "q"}, AnswerKind.FOREIGN),
        (200, {"X_Request_Id": "other", "X_Server_Seal": "s"}, AnswerKind.FOREIGN),
        (200, {"X_Server_Seal": "s"}, AnswerKind.FOREIGN),
        (
            200,
            {"X_Request_Id": "q", "X_Server_Seal": "s", "Content_Encoding": "gzip"},
            AnswerKind.FOREIGN,
        ),
        (503, {"X_Not_Executed": "1"}, AnswerKind.NOT_RUN),
        (503, {"X_Request_Id": "q", "X_Not_Executed": "1"}, AnswerKind.NOT_RUN),
        (503, {"X_Request_Id": "other", "X_Not_Executed": "1"}, AnswerKind.FOREIGN),
        (503, {"X_Request_Id": "q", "X_Server_Seal": "s"}, AnswerKind.FOREIGN),
        (429, {"X_Request_Id": "q"}, AnswerKind.FOREIGN),
        (421, {"X_Instance_Id": "i"}, AnswerKind.NOT_RUN),
    ],
)
def test_answer_is_classified_by_status_and_headers(status, values, kind):
    """An answer is only trusted if its headers show that it is for this request."""
    assert CODEC.classify(status, headers(**values), "q") is kind


def test_dispatch_sets_the_endpoint_and_remaining_time():
    sent = CIMultiDict({"X-Deadline-Ms": "5000", "X-Other": "kept"})
    CODEC.encode_dispatch(sent, Dispatch("i-1", 1.2345, 3, 7))
    assert sent["X-Deadline-Ms"] == "1234"
    assert sent["X-Expect-Instance"] == "i-1"
    assert (sent["X-Request-Urgency"], sent["Last-Event-Id"]) == ("3", "7")
    assert sent["X-Other"] == "kept"


def test_reserved_headers_are_removed():
    sent = CIMultiDict(
        [
            ("X-Hold", "h1"),
            ("x-hold", "h2"),
            ("X-PIN-MS", "500"),
            ("X-Kv-Backup", "10.0.0.1:80"),
            ("KV-FROM", "10.0.0.1:80/h"),
            ("Kv-Fetch", "10.0.0.1:80"),
            ("kv-fetch", "10.0.0.2:80"),
            ("X-Request-Urgency", "0"),
            ("X-Expect-Instance", "i-9"),
            ("X-Length-Hint", "40"),
            ("X-Other", "kept"),
        ]
    )
    CODEC.remove_reserved(sent)
    assert list(sent.items()) == [("X-Length-Hint", "40"), ("X-Other", "kept")]


@pytest.mark.parametrize(
    ("value", "limit_per_s"), [("1", 1.0), ("0", 0.0), ("2.5", 2.5), (" 3 ", 3.0)]
)
def test_limit_is_a_decimal_number(value, limit_per_s):
    signals = CODEC.decode_signals(200, headers(Server_Limit=value))
    assert (signals.limit_per_s, signals.unreadable) == (limit_per_s, ())


@pytest.mark.parametrize("value", ["", "many", "-1", "nan", "inf", "1;2"])
def test_invalid_limit_is_ignored_and_reported(value):
    signals = CODEC.decode_signals(200, headers(Server_Limit=value))
    assert (signals.limit_per_s, signals.unreadable) == (None, ("Server-Limit",))


@pytest.mark.parametrize(
    ("value", "is_leaving"), [("1", True), (" 1 ", True), ("0", False), ("", False)]
)
def test_leaving_header_marks_the_endpoint(value, is_leaving):
    assert (
        CODEC.decode_signals(200, headers(Server_Leaving=value)).is_leaving
        is is_leaving
    )


@pytest.mark.parametrize(
    ("status", "value", "pause_s"),
    [(503, "3", 3.0), (503, "0.25", 0.25), (200, "3", None), (429, "3", None)],
)
def test_pause_is_only_taken_from_a_503(status, value, pause_s):
    signals = CODEC.decode_signals(status, headers(Retry_After=value))
    assert (signals.pause_s, signals.unreadable) == (pause_s, ())


@pytest.mark.parametrize("value", ["", "Fri, 31 Dec 1999 23:59:59 GMT", "-1", "inf"])
def test_invalid_pause_is_ignored_and_reported(value):
    signals = CODEC.decode_signals(503, headers(Retry_After=value))
    assert (signals.pause_s, signals.unreadable) == (None, ("Retry-After",))


@pytest.mark.parametrize(
    ("until", "pause_s"), [("08:49:40", 3.0), ("08:49:30", 0.0), ("23:00:00", 300.0)]
)
def test_retry_after_date_is_relative_to_the_answers_date(until, pause_s):
    """Otherwise clock skew between endpoint and daemon would change the pause."""
    values = {
        "Date": "Sun, 06 Nov 1994 08:49:37 GMT",
        "Retry_After": f"Sun, 06 Nov 1994 {until} GMT",
    }
    assert CODEC.decode_signals(503, headers(**values)).pause_s == pause_s


def test_pause_is_capped():
    assert CODEC.decode_signals(503, headers(Retry_After="1e9")).pause_s == 300.0


@pytest.mark.parametrize(
    ("value", "rate_per_s", "unreadable"),
    [("3", 3.0, ()), ("0", 0.0, ()), ("-1", None, ("Server-Brittle",))],
)
def test_brittle_endpoint_states_how_many_rejections_it_survives(
    value, rate_per_s, unreadable
):
    signals = CODEC.decode_signals(200, headers(**{"Server-Brittle": value}))
    assert signals.max_rejections_per_s == rate_per_s
    assert signals.unreadable == unreadable
