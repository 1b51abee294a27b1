"""Bearer tokens of callers: an organisation's name with an HMAC signature."""

import hashlib
import hmac

from camphorstair_core import errors


def issue(key: bytes, organisation: str) -> str:
    """Return the token of an organisation.

    :param key: The secret key of the fleet.
    :param organisation: The organisation's name.
    """
    return f'{organisation}.{_signature(key, organisation)}'


def organisation_of(key: bytes, header: str) -> str:
    """Return the organisation whose valid token an Authorization header holds.

    :param key: The secret key of the fleet.
    :param header: The header's value.
    :raises errors.RequestError: if the token is missing or invalid.
    """
    scheme, _, token = header.partition(' ')
    organisation, _, signature = token.strip().rpartition('.')
    expected = _signature(key, organisation)
    valid = hmac.compare_digest(signature.encode(), expected.encode())
    if scheme.lower() != 'bearer' or not organisation or not valid:
        message = 'the Authorization header holds no valid token'
        raise errors.RequestError(errors.unauthorized, message)
    return organisation


def _signature(key: bytes, organisation: str) -> str:
    return hmac.new(key, organisation.encode(), hashlib.sha256).hexdigest()
