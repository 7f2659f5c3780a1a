"""Fills in a settings template as the platform does."""

from __future__ import annotations

import re

Fields = dict[str, "str | dict[str, str]"]
SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
VALUE = re.compile(r"\{\{([\w.]+)\}\}")


def _render_section(match: re.Match[str], fields: Fields) -> str:
    value = fields.get(match[2])
    if match[1] == "^":
        return "" if value else match[3]
    if isinstance(value, dict):
        return "".join(
            match[3].replace("{{@}}", key).replace("{{.}}", entry)
            for key, entry in value.items()
        )
    return match[3].replace("{{.}}", value) if value else ""


def render(template: str, fields: Fields) -> str:
    """Return the template with its sections and placeholders filled in."""
    text = SECTION.sub(lambda match: _render_section(match, fields), template)
    return VALUE.sub(lambda match: str(fields.get(match[1], "")), text)
