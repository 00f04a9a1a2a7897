//! Which process of the upstream has the present fencing tokens.

use foxtaildrift::connection::connection_group::ConnectionGroup;
use foxtaildrift::process::host::token_holder::TokenHolder;

#[test]
fn the_holder_is_unclear_once_tokens_were_sent_to_two_groups() {
    let (one, two) = (ConnectionGroup(1), ConnectionGroup(2));
    let first = TokenHolder::Nobody.with(one);
    assert_eq!(first, TokenHolder::Group(one));
    assert_eq!(first.with(one), first);
    assert_eq!(first.with(two), TokenHolder::Unclear);
    assert_eq!(first.with(two).with(one), TokenHolder::Unclear);
}
