//! Attribute macros that expand to the derive lists shared across the workspace.
//!
//! Messages, values and numeric newtypes each use one attribute instead of a long
//! derive list, so a trait added here applies to all types of that kind.
//! See `docs/ARCHITECTURE.md` for where each kind is used.

use proc_macro::{TokenStream, TokenTree};

/// Derives `Debug`, `Clone`, `PartialEq` and `Eq` for a value type.
///
/// ```
/// #[daisynotch_macros::value]
/// struct Window {
///     length_ms: u64,
/// }
/// assert_eq!(Window { length_ms: 5 }.clone(), Window { length_ms: 5 });
/// ```
#[proc_macro_attribute]
pub fn value(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    prepend_attributes("#[derive(Debug, Clone, PartialEq, Eq)]", item)
}

/// Derives the traits of [`macro@value`] plus serde's `Serialize` and `Deserialize`.
///
/// For types that are sent over a socket or stored in a file.
#[proc_macro_attribute]
pub fn message(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    prepend_attributes(
        "#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]",
        item,
    )
}

/// Derives the traits of an integer newtype and implements `Display` and `FromStr`.
///
/// The item must be a tuple struct with one public integer field. The text form
/// is the bare number; the name of the field that holds the value states the unit.
///
/// ```
/// #[daisynotch_macros::number]
/// pub struct SlotCount(pub u32);
/// assert_eq!("12".parse(), Ok(SlotCount(12)));
/// assert_eq!(SlotCount(12).to_string(), "12");
/// ```
#[proc_macro_attribute]
pub fn number(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    let (name, inner) = struct_name_and_field_type(&item);
    let derives = "#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, \
                   serde::Serialize, serde::Deserialize)] #[serde(transparent)]";
    let conversions = format!(
        "impl ::std::fmt::Display for {name} {{
            fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {{
                ::std::fmt::Display::fmt(&self.0, f)
            }}
        }}
        impl ::std::str::FromStr for {name} {{
            type Err = ::std::num::ParseIntError;
            fn from_str(text: &str) -> ::std::result::Result<Self, Self::Err> {{
                text.parse::<{inner}>().map(Self)
            }}
        }}"
    );
    let mut tokens = prepend_attributes(derives, item);
    tokens.extend(parse_tokens(&conversions));
    tokens
}

fn prepend_attributes(attributes: &str, item: TokenStream) -> TokenStream {
    let mut tokens = parse_tokens(attributes);
    tokens.extend(item);
    tokens
}

fn parse_tokens(source: &str) -> TokenStream {
    source
        .parse()
        .expect("the macro generates valid Rust tokens")
}

/// Returns the name of a tuple struct and the type of its only field.
fn struct_name_and_field_type(item: &TokenStream) -> (String, String) {
    let mut tokens = item.clone().into_iter();
    let is_struct =
        |token: &TokenTree| matches!(token, TokenTree::Ident(word) if word.to_string() == "struct");
    tokens
        .find(is_struct)
        .expect("`number` applies to structs only: write `#[number] pub struct Name(pub u64);`");
    let name = tokens.next().map(|token| token.to_string());
    let Some(TokenTree::Group(fields)) = tokens.next() else {
        panic!(
            "`number` applies to tuple structs only: write `#[number] pub struct Name(pub u64);`"
        );
    };
    let inner = fields.stream().into_iter().last();
    (
        name.expect("the struct has a name"),
        inner.expect("the struct has one field").to_string(),
    )
}
