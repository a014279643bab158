//! The server's side of SCRAM-SHA-256, over the verifier that the protocol crate computes.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Digest;
use sha2::Sha256;

/// The only mechanism offered.
pub const MECHANISM: &str = "SCRAM-SHA-256";

/// What is kept of a password: enough to check it, not enough to log in elsewhere.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verifier {
    iterations: Box<str>,
    salt: Box<str>,
    stored_key: Vec<u8>,
    server_key: Vec<u8>,
}

/// Why a login was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ScramError {
    /// The message does not follow the mechanism.
    #[error("malformed SCRAM message; use a driver that supports SCRAM-SHA-256")]
    Malformed,
    /// The proof does not fit the password.
    #[error("password authentication failed; check the password of this role")]
    WrongPassword,
}

impl Verifier {
    /// Derives the verifier of a password with a fresh salt.
    ///
    /// # Panics
    ///
    /// Panics when the protocol crate changes the form of its verifiers.
    pub fn of_password(password: &str) -> Self {
        let text = postgres_protocol::password::scram_sha_256(password.as_bytes());
        Self::parse(&text).expect("the protocol crate writes verifiers in the documented form")
    }

    /// Reads `SCRAM-SHA-256$iterations:salt$stored:server`.
    fn parse(text: &str) -> Option<Self> {
        let (_, rest) = text.split_once('$')?;
        let (head, keys) = rest.split_once('$')?;
        let (iterations, salt) = head.split_once(':')?;
        let (stored_key, server_key) = keys.split_once(':')?;
        Some(Self {
            iterations: iterations.into(),
            salt: salt.into(),
            stored_key: BASE64_STANDARD.decode(stored_key).ok()?,
            server_key: BASE64_STANDARD.decode(server_key).ok()?,
        })
    }
}

/// An exchange that waits for the client's final message.
#[derive(Debug)]
pub struct Exchange<'a> {
    verifier: &'a Verifier,
    client_first_bare: Box<str>,
    server_first: Box<str>,
    nonce: Box<str>,
    channel_binding: Box<str>,
}

impl<'a> Exchange<'a> {
    /// Takes the client's first message. `server_nonce` must be unpredictable printable text
    /// without a comma.
    ///
    /// # Errors
    ///
    /// Returns [`ScramError::Malformed`].
    pub fn start(
        verifier: &'a Verifier,
        client_first: &str,
        server_nonce: &str,
    ) -> Result<Self, ScramError> {
        let mut parts = client_first.splitn(3, ',');
        let flag = parts.next().ok_or(ScramError::Malformed)?;
        let identity = parts.next().ok_or(ScramError::Malformed)?;
        let bare = parts.next().ok_or(ScramError::Malformed)?;
        if !matches!(flag, "n" | "y") {
            return Err(ScramError::Malformed);
        }
        let client_nonce = attribute(bare, "r=")?;
        let nonce = format!("{client_nonce}{server_nonce}");
        let server_first = format!("r={nonce},s={},i={}", verifier.salt, verifier.iterations);
        Ok(Self {
            verifier,
            client_first_bare: bare.into(),
            server_first: server_first.into(),
            nonce: nonce.into(),
            channel_binding: BASE64_STANDARD.encode(format!("{flag},{identity},")).into(),
        })
    }

    /// Returns the server's first message.
    pub fn server_first(&self) -> &str {
        &self.server_first
    }

    /// Checks the client's final message and returns the server's final message.
    ///
    /// # Errors
    ///
    /// Returns [`ScramError::WrongPassword`] when the proof does not fit.
    pub fn finish(self, client_final: &str) -> Result<String, ScramError> {
        let (without_proof, proof) = client_final
            .rsplit_once(",p=")
            .ok_or(ScramError::Malformed)?;
        let binds = attribute(without_proof, "c=")? == &*self.channel_binding;
        if !binds || attribute(without_proof, "r=")? != &*self.nonce {
            return Err(ScramError::Malformed);
        }
        let proof = BASE64_STANDARD
            .decode(proof)
            .map_err(|_| ScramError::Malformed)?;
        let message = format!(
            "{},{},{without_proof}",
            self.client_first_bare, self.server_first
        );
        let signature = sign(&self.verifier.stored_key, &message);
        if proof.len() != signature.len() {
            return Err(ScramError::Malformed);
        }
        let client_key: Vec<u8> = proof.iter().zip(&signature).map(|(a, b)| a ^ b).collect();
        if Sha256::digest(&client_key)[..] != self.verifier.stored_key[..] {
            return Err(ScramError::WrongPassword);
        }
        let signature = sign(&self.verifier.server_key, &message);
        Ok(format!("v={}", BASE64_STANDARD.encode(signature)))
    }
}

fn attribute<'a>(message: &'a str, prefix: &str) -> Result<&'a str, ScramError> {
    message
        .split(',')
        .find_map(|part| part.strip_prefix(prefix))
        .ok_or(ScramError::Malformed)
}

fn sign(key: &[u8], message: &str) -> Vec<u8> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(message.as_bytes());
    mac.finalize().into_bytes().to_vec()
}
