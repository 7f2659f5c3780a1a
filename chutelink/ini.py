"""INI files read with the place of each key, for errors that name the line."""

from __future__ import annotations

import functools
import re
from collections.abc import Iterator
from typing import NamedTuple

import msgspec

MAX_INI_BYTES = 4 * 1024 * 1024
_SECTION = re.compile(r"^\[(?P<name>[^\[\]]+)\]\s*$")
_KEY = re.compile(r"^(?P<key>[A-Za-z][A-Za-z0-9_]*)\s*=\s*(?P<value>.*)$")
_BOOLEANS = {"yes": True, "no": False, "true": True, "false": False}


class Problem(msgspec.Struct, frozen=True):
    """One fault in a file, with its place."""

    file: str
    line: int
    section: str
    key: str
    message: str

    def __str__(self) -> str:
        where = f"[{self.section}]" if self.section else ""
        key = f" {self.key}" if self.key else ""
        return f"{self.file}:{self.line}: {where}{key}: {self.message}"


class Entry(NamedTuple):
    """A value and the line that it stands on, counted from 1."""

    value: str
    line: int


class Section(msgspec.Struct, frozen=True):
    """A section with its keys in the order of the file."""

    name: str
    line: int
    entries: dict[str, Entry]


class IniFile(msgspec.Struct, frozen=True):
    """A file's sections in order, and what could not be read."""

    file: str
    sections: tuple[Section, ...]
    problems: tuple[Problem, ...]


def read_ini(text: str, file: str) -> IniFile:
    """Split INI text into sections; faults are listed, not raised.

    Parameters
    ----------
    text : str
        The file's content.
    file : str
        The name for error messages.

    Returns
    -------
    IniFile
        Sections, and a problem for each line that is not understood.
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
    """Split a comma-separated value; empty items are dropped."""
    return [item.strip() for item in value.split(",") if item.strip()]


@functools.cache
def _fields_of(kind: type) -> dict[str, msgspec.structs.FieldInfo]:
    return {field.name: field for field in msgspec.structs.fields(kind)}


def decode_section(
    section: Section, kind: type, file: str, extra: dict[str, object] | None = None
) -> tuple[object | None, list[Problem]]:
    """Build a struct from a section, checking every key.

    Parameters
    ----------
    section : Section
        What the file says.
    kind : type
        A msgspec struct; its fields are the known keys.
    file : str
        The name for error messages.
    extra : dict, optional
        Fields that do not come from keys, such as the name.

    Returns
    -------
    tuple
        The struct, or None with the problems found.
    """
    extra = extra or {}
    fields = _fields_of(kind)
    known = sorted(set(fields) - set(extra))
    problems: list[Problem] = []
    values: dict[str, object] = dict(extra)
    for key, entry in section.entries.items():
        if key not in known:
            message = f"unknown key; known here: {', '.join(known)}"
            problems.append(Problem(file, entry.line, section.name, key, message))
            continue
        value, fault = _convert(entry.value, fields[key].type)
        if fault:
            problems.append(Problem(file, entry.line, section.name, key, fault))
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
