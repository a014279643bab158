//! Server-side SCRAM-SHA-256 authentication, with verifiers that `postgres-protocol` computes.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Digest;
use sha2::Sha256;

/// The only SASL mechanism that the proxy offers.
pub const MECHANISM: &str = "SCRAM-SHA-256";

/// The verifier of a password. A server can check a password with the verifier, but the verifier
/// can't be used to log in to another server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verifier {
    iterations: Box<str>,
    salt: Box<str>,
    stored_key: Vec<u8>,
    server_key: Vec<u8>,
}

/// The error of a failed login.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ScramError {
    /// A message of the client is not a valid SCRAM message.
    #[error("malformed SCRAM message; use a driver that supports SCRAM-SHA-256")]
    Malformed,
    /// The client's proof doesn't match the password.
    #[error("password authentication failed; check the password of this role")]
    WrongPassword,
}

impl Verifier {
    /// Derives the verifier of a password with a new random salt.
    ///
    /// # Panics
    ///
    /// Panics when `postgres-protocol` returns a verifier in an unexpected format.
    pub fn from_password(password: &str) -> Self {
        let text = postgres_protocol::password::scram_sha_256(password.as_bytes());
        Self::parse(&text).expect("postgres-protocol returns verifiers in the documented format")
    }

    /// Parses `SCRAM-SHA-256$iterations:salt$stored:server`, where `stored` and `server` are the
    /// keys.
    fn parse(text: &str) -> Option<Self> {
        let (_, parameters_and_keys) = text.split_once('$')?;
        let (parameters, keys) = parameters_and_keys.split_once('$')?;
        let (iterations, salt) = parameters.split_once(':')?;
        let (stored_key, server_key) = keys.split_once(':')?;
        Some(Self {
            iterations: iterations.into(),
            salt: salt.into(),
            stored_key: BASE64_STANDARD.decode(stored_key).ok()?,
            server_key: BASE64_STANDARD.decode(server_key).ok()?,
        })
    }
}

/// A SCRAM exchange after the client's first message and before its final message.
#[derive(Debug)]
pub struct ScramExchange<'a> {
    verifier: &'a Verifier,
    client_first_bare: Box<str>,
    server_first: Box<str>,
    nonce: Box<str>,
    channel_binding: Box<str>,
}

impl<'a> ScramExchange<'a> {
    /// Starts an exchange with the client's first message. `server_nonce` must be unpredictable
    /// printable text without a comma.
    ///
    /// # Errors
    ///
    /// Returns [`ScramError::Malformed`] when the message is invalid or requires channel binding.
    pub fn start(
        verifier: &'a Verifier,
        client_first: &str,
        server_nonce: &str,
    ) -> Result<Self, ScramError> {
        let mut parts = client_first.splitn(3, ',');
        let binding_flag = parts.next().ok_or(ScramError::Malformed)?;
        let authorization_identity = parts.next().ok_or(ScramError::Malformed)?;
        let bare_message = parts.next().ok_or(ScramError::Malformed)?;
        if !matches!(binding_flag, "n" | "y") {
            return Err(ScramError::Malformed);
        }
        let client_nonce = attribute(bare_message, "r=")?;
        let nonce = format!("{client_nonce}{server_nonce}");
        let server_first = format!("r={nonce},s={},i={}", verifier.salt, verifier.iterations);
        Ok(Self {
            verifier,
            client_first_bare: bare_message.into(),
            server_first: server_first.into(),
            nonce: nonce.into(),
            channel_binding: BASE64_STANDARD
                .encode(format!("{binding_flag},{authorization_identity},"))
                .into(),
        })
    }

    /// Returns the server's first message, with the nonce, the salt and the number of iterations.
    pub fn server_first(&self) -> &str {
        &self.server_first
    }

    /// Checks the client's final message and returns the server's final message.
    ///
    /// # Errors
    ///
    /// Returns [`ScramError::WrongPassword`] when the proof doesn't match the password, and
    /// [`ScramError::Malformed`] when the message is invalid or belongs to another exchange.
    pub fn finish(self, client_final: &str) -> Result<String, ScramError> {
        let (without_proof, proof) = client_final
            .rsplit_once(",p=")
            .ok_or(ScramError::Malformed)?;
        let binding_matches = attribute(without_proof, "c=")? == &*self.channel_binding;
        if !binding_matches || attribute(without_proof, "r=")? != &*self.nonce {
            return Err(ScramError::Malformed);
        }
        let proof = BASE64_STANDARD
            .decode(proof)
            .map_err(|_| ScramError::Malformed)?;
        let message = format!(
            "{},{},{without_proof}",
            self.client_first_bare, self.server_first
        );
        let signature = hmac_sha256(&self.verifier.stored_key, &message);
        if proof.len() != signature.len() {
            return Err(ScramError::Malformed);
        }
        let client_key: Vec<u8> = proof.iter().zip(&signature).map(|(a, b)| a ^ b).collect();
        if Sha256::digest(&client_key)[..] != self.verifier.stored_key[..] {
            return Err(ScramError::WrongPassword);
        }
        let signature = hmac_sha256(&self.verifier.server_key, &message);
        Ok(format!("v={}", BASE64_STANDARD.encode(signature)))
    }
}

/// Returns the value of the first attribute that starts with `prefix`, such as `r=`.
fn attribute<'a>(message: &'a str, prefix: &str) -> Result<&'a str, ScramError> {
    message
        .split(',')
        .find_map(|part| part.strip_prefix(prefix))
        .ok_or(ScramError::Malformed)
}

/// Computes the HMAC-SHA-256 of a message.
fn hmac_sha256(key: &[u8], message: &str) -> Vec<u8> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(message.as_bytes());
    mac.finalize().into_bytes().to_vec()
}
