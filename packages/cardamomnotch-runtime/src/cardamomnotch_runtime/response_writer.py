"""Writer of one HTTP response."""

from aiohttp.http_writer import StreamWriter
from multidict import CIMultiDict

from .header_fields import find_invalid_header


class ResponseWriter(StreamWriter):
    """Writes header values with the bytes that they were received with.

    The library leaves bytes out that are not UTF-8, which RFC 9110 allows in values.
    """

    # Whether the head has been encoded; a body without one is no response.
    has_head = False

    async def write_headers(self, status_line: str, headers: CIMultiDict[str]) -> None:
        """Keep the encoded head until the body begins.

        Raises ValueError if a header cannot be written.
        """
        if all(map(str.isascii, headers.values())):
            await super().write_headers(status_line, headers)
            self.has_head = True
            return
        invalid = find_invalid_header(headers)
        if invalid is not None:
            raise ValueError(str(invalid))
        lines = [status_line, *(f"{name}: {value}" for name, value in headers.items())]
        head = "".join(f"{line}\r\n" for line in [*lines, ""])
        self._headers_written = False
        self._headers_buf = head.encode(errors="surrogateescape")
        self.has_head = True
