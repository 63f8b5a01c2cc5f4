//! A small JSON value: enough for the store's objects and the calls of batch jobs.

use std::collections::BTreeMap;
use std::fmt::Write;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut parser = Parser { bytes, at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn write(&self, into: &mut String) {
        match self {
            Json::Null => into.push_str("null"),
            Json::Bool(value) => into.push_str(if *value { "true" } else { "false" }),
            Json::Number(number) => {
                let _ = write!(into, "{number}");
            }
            Json::Text(text) => quote(text, into),
            Json::List(list) => {
                into.push('[');
                for (index, value) in list.iter().enumerate() {
                    if index > 0 {
                        into.push(',');
                    }
                    value.write(into);
                }
                into.push(']');
            }
            Json::Object(fields) => {
                into.push('{');
                for (index, (name, value)) in fields.iter().enumerate() {
                    if index > 0 {
                        into.push(',');
                    }
                    quote(name, into);
                    into.push(':');
                    value.write(into);
                }
                into.push('}');
            }
        }
    }
}

impl std::fmt::Display for Json {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut text = String::new();
        self.write(&mut text);
        formatter.write_str(&text)
    }
}

fn quote(text: &str, into: &mut String) {
    into.push('"');
    for sign in text.chars() {
        match sign {
            '"' => into.push_str("\\\""),
            '\\' => into.push_str("\\\\"),
            '\n' => into.push_str("\\n"),
            sign if (sign as u32) < 0x20 => {
                let _ = write!(into, "\\u{:04x}", sign as u32);
            }
            sign => into.push(sign),
        }
    }
    into.push('"');
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, text: &str) -> Option<()> {
        let end = self.at + text.len();
        (self.bytes.get(self.at..end)? == text.as_bytes()).then(|| self.at = end)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'n' => self.take("null").map(|_| Json::Null),
            b't' => self.take("true").map(|_| Json::Bool(true)),
            b'f' => self.take("false").map(|_| Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                loop {
                    self.space();
                    if self.take("]").is_some() {
                        return Some(Json::List(list));
                    }
                    if !list.is_empty() {
                        self.take(",")?;
                    }
                    list.push(self.value()?);
                }
            }
            b'{' => {
                self.at += 1;
                let mut fields = BTreeMap::new();
                loop {
                    self.space();
                    if self.take("}").is_some() {
                        return Some(Json::Object(fields));
                    }
                    if !fields.is_empty() {
                        self.take(",")?;
                        self.space();
                    }
                    let name = self.string()?;
                    self.space();
                    self.take(":")?;
                    fields.insert(name, self.value()?);
                }
            }
            _ => {
                let start = self.at;
                while self
                    .bytes
                    .get(self.at)
                    .is_some_and(|byte| b"+-.eE0123456789".contains(byte))
                {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'b' => bytes.push(8),
                        b'f' => bytes.push(12),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let sign = char::from_u32(u32::from_str_radix(digits, 16).ok()?);
                            let mut buffer = [0; 4];
                            let sign = sign.unwrap_or('\u{fffd}').encode_utf8(&mut buffer);
                            bytes.extend_from_slice(sign.as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                byte => bytes.push(byte),
            }
        }
    }
}
