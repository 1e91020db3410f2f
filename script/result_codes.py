"""Prints the reference of all result codes, docs/result-codes.md."""

from cardamomnotch_protocol.result_codes import ResultCode, describe

_HEADER = """# Result codes

Every refusal and error carries one of these numbers, in the JSON body under
`error.code` and, towards callers, in the header
`X-Cardamomnotch-Result-Code`. `Retry-After` says when to come back.

An entry that relays on the users' platform sends 503 for 312: the request has not
run and will not, which 503 promises, so that a booking may be sent again. A request
of which an attempt has run ends with 502 (304) instead, which promises nothing.

| code | name | HTTP status | may succeed later | meaning |
| --- | --- | --- | --- | --- |"""


def main() -> None:
    """Print the reference of result codes."""
    print(_HEADER)
    for code in ResultCode:
        description = describe(code)
        retryable = "yes" if description.retryable else "no"
        status = int(description.http_status)
        print(
            f"| {int(code)} | `{code.name.lower()}` | {status} | {retryable}"
            f" | {description.summary} |"
        )


if __name__ == "__main__":
    main()
