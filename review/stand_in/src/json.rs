//! A small JSON reader and writer.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Map(fields) => fields
                .iter()
                .find(|(key, _)| key == name)
                .map_or(&Json::Null, |(_, value)| value),
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

    /// Parses a document; `Null` if it is malformed.
    pub fn parse(bytes: &[u8]) -> Json {
        let text: Vec<char> = String::from_utf8_lossy(bytes).chars().collect();
        let mut at = 0;
        value(&text, &mut at).unwrap_or(Json::Null)
    }
}

impl std::fmt::Display for Json {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Json::Null => write!(out, "null"),
            Json::Bool(value) => write!(out, "{value}"),
            Json::Number(number) => write!(out, "{number}"),
            Json::Text(text) => quote(out, text),
            Json::List(list) => {
                write!(out, "[")?;
                for (index, item) in list.iter().enumerate() {
                    write!(out, "{}{item}", if index > 0 { "," } else { "" })?;
                }
                write!(out, "]")
            }
            Json::Map(fields) => {
                write!(out, "{{")?;
                for (index, (name, item)) in fields.iter().enumerate() {
                    write!(out, "{}", if index > 0 { "," } else { "" })?;
                    quote(out, name)?;
                    write!(out, ":{item}")?;
                }
                write!(out, "}}")
            }
        }
    }
}

fn quote(out: &mut std::fmt::Formatter<'_>, text: &str) -> std::fmt::Result {
    write!(out, "\"")?;
    for letter in text.chars() {
        match letter {
            '"' => write!(out, "\\\"")?,
            '\\' => write!(out, "\\\\")?,
            '\n' => write!(out, "\\n")?,
            '\r' => write!(out, "\\r")?,
            '\t' => write!(out, "\\t")?,
            control if (control as u32) < 0x20 => write!(out, "\\u{:04x}", control as u32)?,
            other => write!(out, "{other}")?,
        }
    }
    write!(out, "\"")
}

fn skip(text: &[char], at: &mut usize) {
    while text.get(*at).is_some_and(|letter| letter.is_whitespace()) {
        *at += 1;
    }
}

fn value(text: &[char], at: &mut usize) -> Option<Json> {
    skip(text, at);
    match text.get(*at)? {
        '{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(text, at);
                match text.get(*at)? {
                    '}' => {
                        *at += 1;
                        return Some(Json::Map(fields));
                    }
                    ',' => *at += 1,
                    _ => {
                        let name = string(text, at)?;
                        skip(text, at);
                        if *text.get(*at)? != ':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((name, value(text, at)?));
                    }
                }
            }
        }
        '[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(text, at);
                match text.get(*at)? {
                    ']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    ',' => *at += 1,
                    _ => list.push(value(text, at)?),
                }
            }
        }
        '"' => Some(Json::Text(string(text, at)?)),
        't' => word(text, at, "true", Json::Bool(true)),
        'f' => word(text, at, "false", Json::Bool(false)),
        'n' => word(text, at, "null", Json::Null),
        _ => {
            let start = *at;
            while text
                .get(*at)
                .is_some_and(|letter| letter.is_ascii_digit() || "+-.eE".contains(*letter))
            {
                *at += 1;
            }
            let digits: String = text[start..*at].iter().collect();
            digits.parse().ok().map(Json::Number)
        }
    }
}

fn word(text: &[char], at: &mut usize, word: &str, found: Json) -> Option<Json> {
    let end = *at + word.len();
    let read: String = text.get(*at..end)?.iter().collect();
    *at = end;
    (read == word).then_some(found)
}

fn string(text: &[char], at: &mut usize) -> Option<String> {
    if *text.get(*at)? != '"' {
        return None;
    }
    *at += 1;
    let mut read = String::new();
    loop {
        let letter = *text.get(*at)?;
        *at += 1;
        match letter {
            '"' => return Some(read),
            '\\' => {
                let escaped = *text.get(*at)?;
                *at += 1;
                read.push(match escaped {
                    'n' => '\n',
                    'r' => '\r',
                    't' => '\t',
                    'b' => '\u{8}',
                    'f' => '\u{c}',
                    'u' => {
                        let digits: String = text.get(*at..*at + 4)?.iter().collect();
                        *at += 4;
                        char::from_u32(u32::from_str_radix(&digits, 16).ok()?).unwrap_or('?')
                    }
                    other => other,
                });
            }
            other => read.push(other),
        }
    }
}
