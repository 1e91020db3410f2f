"""Client of the rating service."""

import aiohttp
import attrs
import orjson

from cardamomnotch_protocol.exceptions import SchemaError
from cardamomnotch_protocol.result_codes import ResultCode
from cardamomnotch_protocol.schema import strict_converter, structure

from ..exceptions import PlatformError
from .models import RatingRequest

_CONVERTER = strict_converter(forbid_extra_keys=False)
_TIMEOUT_S = 5.0


class RatingError(PlatformError):
    """The call to the rating service failed or returned no valid score."""

    code = ResultCode.RATING_UNAVAILABLE


@attrs.frozen
class _RatingReply:
    score: float


class RatingClient:
    """Requests the quality score of single answers."""

    def __init__(
        self, session: aiohttp.ClientSession, url: str, timeout_s: float = _TIMEOUT_S
    ) -> None:
        self._session = session
        self._url = f"{url.rstrip('/')}/ratings"
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def async_rate(self, request: RatingRequest) -> float:
        """Return the score of the answer, from 0 to 1.

        Raises RatingError if the call fails or returns no valid score.
        """
        body = orjson.dumps(attrs.asdict(request))
        try:
            async with self._session.post(
                self._url, data=body, timeout=self._timeout
            ) as response:
                if response.status != 200:
                    raise RatingError(
                        f"rating service returned HTTP status {response.status}"
                    )
                data = orjson.loads(await response.read())
            score = structure(_CONVERTER, data, _RatingReply).score
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise RatingError(
                f"call to the rating service failed: {type(error).__name__}"
            ) from error
        except (orjson.JSONDecodeError, SchemaError) as error:
            raise RatingError(
                f"malformed reply from the rating service: {error}"
            ) from error
        if not 0 <= score <= 1:
            raise RatingError(f"rating service returned score {score}, expected 0 to 1")
        return score
