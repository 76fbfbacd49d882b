//! A small JSON value with a parser and a writer.

use std::fmt::Write;

/// A JSON value; objects keep the order of their fields.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn object(fields: &[(&str, Json)]) -> Self {
        Self::Object(
            fields
                .iter()
                .map(|(k, v)| ((*k).to_owned(), v.clone()))
                .collect(),
        )
    }

    pub fn get(&self, name: &str) -> &Json {
        if let Self::Object(fields) = self
            && let Some((_, value)) = fields.iter().find(|(key, _)| key == name)
        {
            return value;
        }
        &Self::Null
    }

    pub fn set(&mut self, name: &str, value: Json) {
        if let Self::Object(fields) = self {
            match fields.iter_mut().find(|(key, _)| key == name) {
                Some((_, old)) => *old = value,
                None => fields.push((name.to_owned(), value)),
            }
        }
    }

    pub fn text(&self) -> &str {
        if let Self::Text(text) = self {
            text
        } else {
            ""
        }
    }

    pub fn number(&self) -> u64 {
        if let Self::Number(number) = self {
            *number as u64
        } else {
            0
        }
    }

    pub fn list(&self) -> &[Json] {
        if let Self::List(list) = self {
            list
        } else {
            &[]
        }
    }

    pub fn parse(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        Some(value)
    }

    pub fn write(&self) -> String {
        let mut out = String::new();
        self.write_to(&mut out);
        out
    }

    fn write_to(&self, out: &mut String) {
        match self {
            Self::Null => out.push_str("null"),
            Self::Bool(value) => out.push_str(if *value { "true" } else { "false" }),
            Self::Number(value) if value.fract() == 0.0 => {
                let _ = write!(out, "{}", *value as i64);
            }
            Self::Number(value) => {
                let _ = write!(out, "{value}");
            }
            Self::Text(text) => write_text(text, out),
            Self::List(list) => {
                out.push('[');
                for (index, value) in list.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    value.write_to(out);
                }
                out.push(']');
            }
            Self::Object(fields) => {
                out.push('{');
                for (index, (key, value)) in fields.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    write_text(key, out);
                    out.push(':');
                    value.write_to(out);
                }
                out.push('}');
            }
        }
    }
}

impl From<&str> for Json {
    fn from(text: &str) -> Self {
        Self::Text(text.to_owned())
    }
}

impl From<u64> for Json {
    fn from(number: u64) -> Self {
        Self::Number(number as f64)
    }
}

fn write_text(text: &str, out: &mut String) {
    out.push('"');
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            c if (c as u32) < 0x20 => {
                let _ = write!(out, "\\u{:04x}", c as u32);
            }
            c => out.push(c),
        }
    }
    out.push('"');
}

fn skip(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = parse_text(bytes, at)?;
                        skip(bytes, at);
                        if *bytes.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((key, parse_value(bytes, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(parse_value(bytes, at)?),
                }
            }
        }
        b'"' => Some(Json::Text(parse_text(bytes, at)?)),
        _ => {
            let start = *at;
            while *at < bytes.len() && !b",]} \n\r\t".contains(&bytes[*at]) {
                *at += 1;
            }
            match std::str::from_utf8(&bytes[start..*at]).ok()? {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => Some(Json::Number(number.parse().ok()?)),
            }
        }
    }
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    if *bytes.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                *at += 1;
                match *bytes.get(*at)? {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let hex = std::str::from_utf8(bytes.get(*at + 1..*at + 5)?).ok()?;
                        let code = u32::from_str_radix(hex, 16).ok()?;
                        let c = char::from_u32(code).unwrap_or('?');
                        out.extend(c.to_string().as_bytes());
                        *at += 4;
                    }
                    other => out.push(other),
                }
                *at += 1;
            }
            byte => {
                out.push(byte);
                *at += 1;
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Standard base64 with padding.
pub fn encode_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut n = 0u32;
        for index in 0..3 {
            n = n << 8 | u32::from(*chunk.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            if index <= chunk.len() {
                out.push(ALPHABET[(n >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn decode_base64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut n, mut bits) = (0u32, 0);
    for byte in text.bytes() {
        let Some(value) = ALPHABET.iter().position(|c| *c == byte) else {
            continue;
        };
        n = n << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((n >> bits) as u8);
        }
    }
    out
}
