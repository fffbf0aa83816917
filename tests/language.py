"""The scenario language: grammar and parser.

A scenario is a list of statements, one per line: a verb, its arguments and,
for expectations, a time limit. Arguments are words, numbers or calls such as
``owner(k7)``. ``#`` starts a comment.
"""

import dataclasses
import pathlib

import lark

GRAMMAR = r"""
start: (statement? NEWLINE)*
statement: WORD argument* limit?
?argument: call | number | word
call: WORD "(" argument ("," argument)* ")"
word: WORD
number: NUMBER
limit: "within" NUMBER "s"
WORD: /(?!within\b)[a-z][a-z0-9:_.\/-]*/
COMMENT: /#[^\n]*/
%import common.NUMBER
%import common.NEWLINE
%import common.WS_INLINE
%ignore WS_INLINE
%ignore COMMENT
"""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """A call such as ``owner(k7)``."""

    name: str
    arguments: tuple["Argument", ...]


Argument = Call | str | float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Statement:
    """One line of a scenario.

    Attributes:
        verb: Name of the verb.
        arguments: Its arguments.
        limit: Time limit in seconds, 0 without one.
        line: Line number in the scenario file.
    """

    verb: str
    arguments: tuple[Argument, ...]
    limit: float
    line: int


class Builder(lark.Transformer):
    """Turns the parse tree into statements."""

    def start(self, children: list) -> list[Statement]:
        """Returns the statements in order."""
        return [c for c in children if isinstance(c, Statement)]

    def statement(self, children: list) -> Statement:
        """Returns one statement."""
        verb, *rest = children
        limits = [c for c in rest if isinstance(c, tuple)]
        return Statement(
            verb=str(verb),
            arguments=tuple(c for c in rest if not isinstance(c, tuple)),
            limit=limits[0][0] if limits else 0.0,
            line=verb.line,
        )

    def call(self, children: list) -> Call:
        """Returns one call."""
        return Call(name=str(children[0]), arguments=tuple(children[1:]))

    def word(self, children: list) -> str:
        """Returns a word."""
        return str(children[0])

    def number(self, children: list) -> float:
        """Returns a number."""
        return float(children[0])

    def limit(self, children: list) -> tuple[float]:
        """Returns a time limit."""
        return (float(children[0]),)


PARSER = lark.Lark(GRAMMAR, parser="lalr", transformer=Builder())


def parse(path: pathlib.Path) -> list[Statement]:
    """Parses a scenario file."""
    return PARSER.parse(path.read_text() + "\n")
