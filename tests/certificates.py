"""Create short-lived TLS certificates for tests.

Each certificate is signed by its own authority, whose certificate is valid for
the same time.
"""

import datetime
import ipaddress
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

LOOPBACK_ADDRESS = ipaddress.IPv4Address('127.0.0.1')
DAY = datetime.timedelta(days=1)


def write_certificate(directory: pathlib.Path, name: str) -> None:
    """Write a certificate, its private key and the authority that signed it.

    :param directory: Directory in which the files ``NAME-authority.pem``,
        ``NAME.pem`` and ``NAME-key.pem`` are written.
    :param name: Common name of the certificate, and NAME of the files.
    """
    authority_key = ec.generate_private_key(ec.SECP256R1())
    key = ec.generate_private_key(ec.SECP256R1())
    authority = _create_certificate(
        f'{name} authority', authority_key, None, None
    )
    leaf = _create_certificate(name, key, authority, authority_key)
    _write_pem(directory / f'{name}-authority.pem', authority)
    _write_pem(directory / f'{name}.pem', leaf)
    (directory / f'{name}-key.pem').write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        ),
    )


def _write_pem(path: pathlib.Path, certificate: x509.Certificate) -> None:
    path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))


def _common_name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(x509.oid.NameOID.COMMON_NAME, text)])


def _create_certificate(
    name: str,
    key: ec.EllipticCurvePrivateKey,
    issuer: x509.Certificate | None,
    issuer_key: ec.EllipticCurvePrivateKey | None,
) -> x509.Certificate:
    now = datetime.datetime.now(datetime.UTC)
    constraints = x509.BasicConstraints(ca=issuer is None, path_length=None)
    builder = (
        x509.CertificateBuilder()
        .subject_name(_common_name(name))
        .issuer_name(issuer.subject if issuer else _common_name(name))
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - DAY)
        .not_valid_after(now + DAY)
        .add_extension(constraints, critical=True)
        .add_extension(
            x509.SubjectAlternativeName([x509.IPAddress(LOOPBACK_ADDRESS)]),
            critical=False,
        )
    )
    return builder.sign(issuer_key or key, hashes.SHA256())
