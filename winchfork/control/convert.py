"""Converts configurations between RPC messages, JSON and validated objects."""

from __future__ import annotations

from typing import Any

import pydantic
from google.protobuf import json_format

from winchfork.control import winchfork_pb2 as pb
from winchfork.core.configuration import Configuration, describe_validation_error
from winchfork.errors import Failure, FailureKind


def configuration_from_message(message: pb.Configuration) -> Configuration | Failure:
    """Validate a configuration message; the failure names the invalid field."""
    document = json_format.MessageToDict(message, preserving_proto_field_name=True)
    for pool in document.get("pools", ()):
        pool["repeatable"] = not pool.pop("not_repeatable", False)
    try:
        return Configuration.model_validate(document)
    except pydantic.ValidationError as error:
        return FailureKind.INVALID_CONFIGURATION.because(
            describe_validation_error(error),
            remedy="correct the field and apply the configuration again",
        )


def configuration_to_message(configuration: Configuration) -> pb.Configuration:
    """Return a validated configuration as a message."""
    document = configuration.model_dump(mode="json", exclude_none=True)
    for pool in document["pools"]:
        pool["not_repeatable"] = not pool.pop("repeatable")
    return json_format.ParseDict(document, pb.Configuration())


def configuration_message_from_json(text: str) -> pb.Configuration | Failure:
    """Parse an operator's JSON document; the failure names an unknown field."""
    try:
        return json_format.Parse(text, pb.Configuration())
    except json_format.ParseError as error:
        return FailureKind.INVALID_CONFIGURATION.because(
            f"the document cannot be read: {error}",
            remedy="correct the document and apply it again",
        )


def configuration_message_to_document(message: pb.Configuration) -> dict[str, Any]:
    """Return a configuration message as a JSON document."""
    return json_format.MessageToDict(message, preserving_proto_field_name=True)
