"""Tests of encrypted fronts and links, and of who is let in."""

import contextlib
import datetime as dt
import ssl
import urllib.error
import urllib.request
from concurrent.futures import ThreadPoolExecutor

import pytest
import zmq
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from cluster import Cluster, call, wait_until
from fighead.tasks.peer import CurveKeys, admits

KEYS = [key.decode() for key in zmq.curve_keypair()]


def write_certificate(folder):
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "fighead-test")])
    now = dt.datetime.now(dt.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - dt.timedelta(days=1))
        .not_valid_after(now + dt.timedelta(days=1))
        .sign(key, hashes.SHA256())
    )
    encoding = serialization.Encoding.PEM
    private = key.private_bytes(
        encoding,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    (folder / "cert.pem").write_bytes(certificate.public_bytes(encoding))
    (folder / "key.pem").write_bytes(private)


@pytest.fixture
def cluster(tmp_path):
    write_certificate(tmp_path)
    secured = Cluster(tmp_path, workers=2, entries=2, keys=KEYS)
    try:
        yield secured.start()
    finally:
        secured.stop()


def test_checks_cross_encrypted_links_and_fronts(cluster):
    context = ssl._create_unverified_context()
    url = cluster.urls["entry-0"] + "/v1/carving/checks/blade-check"
    assert url.startswith("https://")

    seen = set()

    def check(_number):
        body = b'{"run_time_s": 0.4}'
        request = urllib.request.Request(url, body, {"Caller": "Devin"}, method="POST")
        # A check that finds no slot in time is refused, which is no fault here.
        with contextlib.suppress(urllib.error.HTTPError):
            answer = urllib.request.urlopen(request, context=context, timeout=10)
            seen.add(answer.read().split(b"bench-")[1][:1])

    def both_instances_answer():
        with ThreadPoolExecutor(12) as pool:
            list(pool.map(check, range(12)))
        return seen == {b"0", b"1"}

    # One instance belongs to the other entry. Together the checks take more slots
    # than the own one has, so some must cross the link.
    assert {len(cluster.status(n)["instances"]) for n in cluster.operators} == {1}
    wait_until(both_instances_answer)


def test_operator_calls_without_the_token_are_refused(cluster):
    url = cluster.operators["entry-0"] + "/v1/status"
    with pytest.raises(urllib.error.HTTPError) as caught:
        call("GET", url, token="wrong-token-0123456789")  # noqa: S106
    assert caught.value.code == 401


def test_only_the_deployments_own_key_is_admitted():
    keys = CurveKeys(*KEYS)
    stranger = zmq.curve_keypair()[0]
    assert admits(keys, b"CURVE", zmq.utils.z85.decode(KEYS[0]))
    assert not admits(keys, b"CURVE", zmq.utils.z85.decode(stranger))
    assert not admits(keys, b"NULL", b"")
