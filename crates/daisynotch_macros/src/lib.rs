//! Attribute macros for the sets of derives that the workspace uses everywhere.
//!
//! One attribute in place of a long derive list keeps every message, value and
//! identifier in step: a trait added here is added to all of them.
//! See `docs/ARCHITECTURE.md` for where each kind is used.

use proc_macro::{TokenStream, TokenTree};

/// Derives the traits of a plain value: it is compared, cloned and printed.
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
    prefix("#[derive(Debug, Clone, PartialEq, Eq)]", item)
}

/// Derives the traits of a message: a value that also crosses a socket or a file.
#[proc_macro_attribute]
pub fn message(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    prefix(
        "#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]",
        item,
    )
}

/// Derives the traits of a number with a meaning, with `Display` and `FromStr`.
///
/// The item must be a tuple struct with one public integer field. The text form
/// is the number alone; the unit belongs to the name of the field that holds it.
///
/// ```
/// #[daisynotch_macros::number]
/// pub struct SlotCount(pub u32);
/// assert_eq!("12".parse(), Ok(SlotCount(12)));
/// assert_eq!(SlotCount(12).to_string(), "12");
/// ```
#[proc_macro_attribute]
pub fn number(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    let (name, inner) = name_and_inner(&item);
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
    let mut tokens = prefix(derives, item);
    tokens.extend(parse(&conversions));
    tokens
}

fn prefix(attributes: &str, item: TokenStream) -> TokenStream {
    let mut tokens = parse(attributes);
    tokens.extend(item);
    tokens
}

fn parse(source: &str) -> TokenStream {
    source
        .parse()
        .expect("the macro's own text is a list of valid tokens")
}

/// Finds the name of a tuple struct and the type of its only field.
fn name_and_inner(item: &TokenStream) -> (String, String) {
    let mut tokens = item.clone().into_iter();
    let is_struct =
        |token: &TokenTree| matches!(token, TokenTree::Ident(word) if word.to_string() == "struct");
    tokens
        .find(is_struct)
        .expect("`number` goes on a struct: write `#[number] pub struct Name(pub u64);`");
    let name = tokens.next().map(|token| token.to_string());
    let Some(TokenTree::Group(fields)) = tokens.next() else {
        panic!("`number` goes on a tuple struct: write `#[number] pub struct Name(pub u64);`");
    };
    let inner = fields.stream().into_iter().last();
    (
        name.expect("a struct has a name"),
        inner.expect("the struct has one field").to_string(),
    )
}
