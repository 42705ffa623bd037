"""Writes TOML settings."""

import json


def to_toml(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, dict):
        inner = ", ".join(f"{key} = {to_toml(item)}"
                          for key, item in value.items())
        return "{" + inner + "}"
    if isinstance(value, (list, tuple)):
        return "[" + ", ".join(to_toml(item) for item in value) + "]"
    # JSON's text is also TOML's for strings and numbers.
    return json.dumps(value)


def settings_text(sections):
    """TOML from [(heading, {key: value})]; an empty heading is the root."""
    lines = []
    for heading, keys in sections:
        if heading:
            lines.append(heading)
        lines += [f"{key} = {to_toml(value)}" for key, value in keys.items()]
        lines.append("")
    return "\n".join(lines)
