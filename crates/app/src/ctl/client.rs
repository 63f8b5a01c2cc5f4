//! Requests to the object API.

use peatgrade_config::RawObject;
use peatgrade_runtime::block_on;
use peatgrade_types::http::HttpRequest;
use serde::Deserialize;
use serde_json::Value;

use crate::fetch::fetch;

/// The object API as one operator sees it.
pub struct Store {
    address: String,
    author: String,
}

/// The end of a write.
pub enum Written {
    /// The object as it is now, or nothing after a deletion.
    Done,
    /// It has another version; the object as it is now, if it exists.
    Conflict(Option<RawObject>),
}

#[derive(Deserialize)]
struct ObjectList {
    objects: Vec<RawObject>,
}

#[derive(Deserialize)]
struct ConflictBody {
    current: Option<RawObject>,
}

impl Store {
    /// A store at an address; changes are recorded under `author`.
    pub fn new(address: &str, author: &str) -> Self {
        Self {
            address: address.to_string(),
            author: author.to_string(),
        }
    }

    fn send(&self, request: HttpRequest) -> Result<(u16, Vec<u8>), String> {
        let step = format!("{} {}", request.method, request.path);
        let ended = block_on(fetch(&self.address, request)).map_err(|e| e.to_string())?;
        ended.map_err(|failure| format!("{step}: {failure}"))
    }

    /// Every object.
    pub fn list(&self) -> Result<Vec<RawObject>, String> {
        let (status, body) = self.send(HttpRequest::new("GET", "/objects", ""))?;
        let parsed = serde_json::from_slice::<ObjectList>(&body).map_err(|e| e.to_string());
        match status {
            200 => Ok(parsed?.objects),
            _ => Err(format!("list objects: status {status}")),
        }
    }

    /// One object.
    pub fn get(&self, key: &str) -> Result<Option<RawObject>, String> {
        let (status, body) = self.send(HttpRequest::new("GET", format!("/objects/{key}"), ""))?;
        match status {
            200 => serde_json::from_slice(&body)
                .map(Some)
                .map_err(|e| e.to_string()),
            404 => Ok(None),
            _ => Err(format!("get {key}: status {status}")),
        }
    }

    /// Writes an object if it still has `version` (0: if it does not exist).
    ///
    /// An answer can be lost after the write took effect. Then the object is
    /// read back: if it holds this body by this author, the write is done.
    pub fn put(&self, key: &str, body: &Value, version: u64) -> Result<Written, String> {
        let request = HttpRequest::new("PUT", format!("/objects/{key}"), body.to_string())
            .with_header("if-match", version.to_string())
            .with_header("x-author", self.author.clone());
        match self.send(request) {
            Ok((200, _)) => Ok(Written::Done),
            Ok((409, body)) => Ok(Written::Conflict(conflicting(&body))),
            Ok((status, body)) => Err(format!(
                "put {key}: status {status}: {}",
                String::from_utf8_lossy(&body)
            )),
            Err(error) => match self.get(key)? {
                Some(now) if now.body == *body && now.author == self.author => Ok(Written::Done),
                Some(now) if now.resource_version != version => Ok(Written::Conflict(Some(now))),
                _ => Err(error),
            },
        }
    }

    /// Deletes an object if it still has `version`.
    pub fn delete(&self, key: &str, version: u64) -> Result<Written, String> {
        let request = HttpRequest::new("DELETE", format!("/objects/{key}"), "")
            .with_header("if-match", version.to_string());
        match self.send(request)? {
            (200 | 404, _) => Ok(Written::Done),
            (409, body) => Ok(Written::Conflict(conflicting(&body))),
            (status, _) => Err(format!("delete {key}: status {status}")),
        }
    }
}

fn conflicting(body: &[u8]) -> Option<RawObject> {
    serde_json::from_slice::<ConflictBody>(body).ok()?.current
}
