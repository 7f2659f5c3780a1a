"""INI parser that keeps line numbers for error messages."""

from __future__ import annotations

import functools
import re
from collections.abc import Iterator
from typing import NamedTuple

import msgspec

MAX_INI_BYTES = 4 * 1024 * 1024
_SECTION = re.compile(r"^\[(?P<name>[^\[\]]+)\]\s*$")
_KEY = re.compile(r"^(?P<key>[A-Za-z0-9][A-Za-z0-9_.-]*)\s*=\s*(?P<value>.*)$")
"""Keys are case sensitive; those of some sections are names of failure domains."""
_BOOLEANS = {"yes": True, "no": False, "true": True, "false": False}


class Problem(msgspec.Struct, frozen=True):
    """An error in a file, with its location."""

    file: str
    line: int
    section: str
    key: str
    message: str

    def __str__(self) -> str:
        section = f"[{self.section}]" if self.section else ""
        key = f" {self.key}" if self.key else ""
        return f"{self.file}:{self.line}: {section}{key}: {self.message}"


class Entry(NamedTuple):
    """A value and its line number, counted from 1."""

    value: str
    line: int


class Section(msgspec.Struct, frozen=True):
    """A section with its entries in file order."""

    name: str
    line: int
    entries: dict[str, Entry]


class IniFile(msgspec.Struct, frozen=True):
    """The sections of a file in order, and its errors."""

    file: str
    sections: tuple[Section, ...]
    problems: tuple[Problem, ...]


def read_ini(text: str, file: str) -> IniFile:
    """Parse INI text into sections; errors are collected, not raised.

    Parameters
    ----------
    text : str
        Content of the file.
    file : str
        File name for error messages.

    Returns
    -------
    IniFile
        Sections, and a problem for each invalid line.
    """
    if len(text) > MAX_INI_BYTES:
        message = f"larger than {MAX_INI_BYTES} bytes"
        return IniFile(file, (), (Problem(file, 1, "", "", message),))
    sections: dict[str, Section] = {}
    problems: list[Problem] = []
    current: Section | None = None
    for number, content in _significant_lines(text):
        if match := _SECTION.match(content):
            name = " ".join(match["name"].split())
            if name in sections:
                problems.append(Problem(file, number, name, "", "section given twice"))
            current = sections.setdefault(name, Section(name, number, {}))
            continue
        match = _KEY.match(content)
        if match is None:
            message = "expected [section] or key = value"
            problems.append(Problem(file, number, "", "", message))
        elif current is None:
            message = "key before the first [section]"
            problems.append(Problem(file, number, "", match["key"], message))
        elif match["key"] in current.entries:
            problems.append(
                Problem(file, number, current.name, match["key"], "key given twice")
            )
        else:
            current.entries[match["key"]] = Entry(match["value"].strip(), number)
    return IniFile(file, tuple(sections.values()), tuple(problems))


def _significant_lines(text: str) -> Iterator[tuple[int, str]]:
    for number, raw in enumerate(text.splitlines(), start=1):
        content = raw.strip()
        if content and content[0] not in "#;":
            yield number, content


def split_list(value: str) -> list[str]:
    """Split a comma-separated value, dropping empty items."""
    return [item.strip() for item in value.split(",") if item.strip()]


@functools.cache
def _get_fields(kind: type) -> dict[str, msgspec.structs.FieldInfo]:
    return {field.name: field for field in msgspec.structs.fields(kind)}


def decode_section(
    section: Section, kind: type, file: str, extra: dict[str, object] | None = None
) -> tuple[object | None, list[Problem]]:
    """Convert a section to a struct and validate every key.

    Parameters
    ----------
    section : Section
        Section to convert.
    kind : type
        The msgspec struct type whose fields are the known keys.
    file : str
        File name for error messages.
    extra : dict, optional
        Values of fields that are not read from keys, such as the name.

    Returns
    -------
    tuple
        The struct, or None, and the list of problems.
    """
    extra = extra or {}
    fields = _get_fields(kind)
    known = sorted(set(fields) - set(extra))
    problems: list[Problem] = []
    values: dict[str, object] = dict(extra)
    for key, entry in section.entries.items():
        if key not in known:
            message = f"unknown key; known keys: {', '.join(known)}"
            problems.append(Problem(file, entry.line, section.name, key, message))
            continue
        value, error_text = _convert(entry.value, fields[key].type)
        if error_text:
            problems.append(Problem(file, entry.line, section.name, key, error_text))
        values[key] = value
    for key in known:
        if fields[key].required and key not in section.entries:
            problems.append(
                Problem(file, section.line, section.name, key, "key is missing")
            )
    if problems:
        return None, problems
    return kind(**values), []


def _convert(text: str, kind: object) -> tuple[object, str]:
    is_list = "tuple" in str(kind)
    raw: object = split_list(text) if is_list else text
    if kind is bool:
        raw = _BOOLEANS.get(text.lower(), text)
    try:
        return msgspec.convert(raw, kind, strict=False), ""
    except msgspec.ValidationError as error:
        return None, str(error)
