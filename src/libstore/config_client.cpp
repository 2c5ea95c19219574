#include <limpetcroft/store.h>

namespace limpet {

namespace {

    constexpr auto currentKey = "config/current";
    // A store that is down answers at once, so more sends than this only help with pauses between them.
    constexpr int maxSends = 3;

    template <typename Value> using callback = config_client::callback<Value>;

    template <typename Done> void getOne(const store_port& port, duration timeout, const std::string& key, Done done)
    {
        port.call(store_get { key }, timeout, [done = std::move(done)](const result<store_reply>& reply, store_era) {
            if (!reply) {
                done(result<std::optional<store_entry>>(tl::unexpected(reply.error())));
                return;
            }
            const auto& entries = std::get<store_get_reply>(*reply).entries;
            done(result<std::optional<store_entry>>(
                entries.empty() ? std::nullopt : std::optional<store_entry>(entries.front())));
        });
    }

    error notKept(revision number)
    {
        return { error_kind::notFound,
            "revision " + std::to_string(number) + " is not in the audit trail, which keeps "
                + std::to_string(keptAuditEntries) + " revisions; see limpetctl history" };
    }

    error stillOpen(const std::string& what)
    {
        return { error_kind::unknownOutcome, what + "; a copy of the write may still take effect" };
    }

    // Reads audit entries downwards, one after the other, until the consumer has enough.
    struct audit_walk : std::enable_shared_from_this<audit_walk> {
        store_port port;
        duration timeout { 0 };
        revision next = 0;
        std::function<bool(const result<std::optional<audit_entry>>&)> consume; ///< true: go on

        void step()
        {
            getOne(
                port, timeout, auditKey(next), [self = shared_from_this()](const auto& found) { self->take(found); });
        }
        void take(const result<std::optional<store_entry>>& found)
        {
            if (!found) {
                consume(tl::unexpected(found.error()));
                return;
            }
            result<std::optional<audit_entry>> entry;
            if (*found) {
                auto parsed = parseAuditEntry((*found)->value);
                if (!parsed) {
                    consume(tl::unexpected(parsed.error()));
                    return;
                }
                entry = std::move(*parsed);
            }
            --next;
            if (consume(entry) && *found) {
                step();
            }
        }
    };

} // namespace

struct config_client::pending_write {
    config_change change;
    store_txn txn;
    callback<config_outcome> done;
    int sends = 0;
    bool earlierMayTakeEffect = false;
};

config_client::config_client(store_port port, duration callTimeout)
    : m_port(std::move(port))
    , m_callTimeout(callTimeout)
{
}

void config_client::read(callback<result<config_document>> done) const
{
    getOne(
        m_port, m_callTimeout, currentKey, [done = std::move(done)](const result<std::optional<store_entry>>& found) {
            if (!found) {
                done(tl::unexpected(found.error()));
            } else if (!*found) {
                done(config_document {});
            } else {
                done(parseConfigDocument(**found));
            }
        });
}

void config_client::write(const config_change& change, callback<config_outcome> done) const
{
    auto txn = makeConfigTransaction(change);
    if (!txn) {
        done(config_not_applied { txn.error() });
        return;
    }
    const std::shared_ptr<pending_write> pending(new pending_write { change, std::move(*txn), std::move(done) });
    send(pending);
}

void config_client::settle(const config_change& change, callback<config_outcome> done) const
{
    auto txn = makeConfigTransaction(change);
    if (!txn) {
        done(config_not_applied { txn.error() });
        return;
    }
    const std::shared_ptr<pending_write> pending(new pending_write { change, std::move(*txn), std::move(done) });
    pending->earlierMayTakeEffect = true;
    send(pending);
}

void config_client::send(const std::shared_ptr<pending_write>& pending) const
{
    ++pending->sends;
    const auto onReply = [client = *this, pending](const result<store_reply>& reply, store_era) mutable {
        if (reply) {
            client.judge(pending, std::get<store_txn_reply>(*reply));
            return;
        }
        if (reply.error().kind == error_kind::unknownOutcome) {
            pending->earlierMayTakeEffect = true;
        }
        if (!pending->earlierMayTakeEffect) {
            pending->done(config_not_applied { reply.error() });
        } else if (pending->sends < maxSends) {
            client.send(pending);
        } else {
            pending->done(config_unknown { reply.error() });
        }
    };
    m_port.call(pending->txn, m_callTimeout, onReply);
}

// A compare that failed proves that no copy of this write takes effect any more, but not that none has.
void config_client::judge(const std::shared_ptr<pending_write>& pending, const store_txn_reply& reply) const
{
    const revision number = pending->change.base.number + 1;
    if (reply.succeeded) {
        pending->done(config_applied { number });
        return;
    }
    config_document current;
    if (!reply.current.empty()) {
        const auto parsed = parseConfigDocument(reply.current.front());
        current = parsed.value_or(config_document { .modRevision = reply.current.front().modRevision });
    }
    if (!pending->earlierMayTakeEffect) {
        pending->done(config_conflict { current });
        return;
    }
    if (current.mark == pending->change.mark) {
        pending->done(config_applied { number });
        return;
    }
    const auto decide = [pending, number, current](const result<std::optional<store_entry>>& found) {
        if (!found) {
            pending->done(config_unknown { found.error() });
            return;
        }
        const auto entry = *found ? parseAuditEntry((*found)->value) : fail(error_kind::notFound, "");
        if (entry && entry->mark == pending->change.mark) {
            pending->done(config_applied { number });
        } else {
            pending->done(config_conflict { current });
        }
    };
    getOne(m_port, m_callTimeout, auditKey(number), decide);
}

void config_client::outcomeOf(revision number, const std::string& mark, const callback<config_outcome>& done) const
{
    const auto decide = [client = *this, number, mark, done](const result<config_document>& current) {
        if (!current) {
            done(config_unknown { current.error() });
            return;
        }
        if (current->number < number) {
            done(config_unknown { stillOpen("the store holds revision " + std::to_string(current->number)) });
            return;
        }
        getOne(client.m_port, client.m_callTimeout, auditKey(number), [=](const auto& found) {
            const auto entry = found && *found ? parseAuditEntry((*found)->value) : fail(error_kind::notFound, "");
            if (!found) {
                done(config_unknown { found.error() });
            } else if (!entry) {
                done(config_unknown { notKept(number) });
            } else if (entry->mark == mark) {
                done(config_applied { number });
            } else {
                done(config_conflict { *current });
            }
        });
    };
    read(decide);
}

void config_client::history(revision newest, std::size_t count, callback<result<std::vector<audit_entry>>> done) const
{
    if (newest == 0 || count == 0) {
        done(std::vector<audit_entry> {});
        return;
    }
    auto walk = std::make_shared<audit_walk>();
    walk->port = m_port;
    walk->timeout = m_callTimeout;
    walk->next = newest;
    auto entries = std::make_shared<std::vector<audit_entry>>();
    walk->consume = [entries, count, done = std::move(done)](const result<std::optional<audit_entry>>& entry) {
        if (!entry) {
            done(tl::unexpected(entry.error()));
            return false;
        }
        if (*entry) {
            entries->push_back(**entry);
        }
        const bool isLast = !*entry || entries->size() == count || entries->back().number <= 1;
        if (isLast) {
            done(*entries);
        }
        return !isLast;
    };
    walk->step();
}

void config_client::rulesAt(revision number, const callback<result<std::string>>& done) const
{
    const auto unwind = [client = *this, number, done](const result<config_document>& current) {
        if (!current) {
            done(tl::unexpected(current.error()));
            return;
        }
        if (number == 0 || number > current->number) {
            done(tl::unexpected(notKept(number)));
            return;
        }
        if (number == current->number) {
            done(current->rulesText);
            return;
        }
        auto walk = std::make_shared<audit_walk>();
        walk->port = client.m_port;
        walk->timeout = client.m_callTimeout;
        walk->next = current->number;
        auto text = std::make_shared<std::string>(current->rulesText);
        walk->consume = [text, number, done](const result<std::optional<audit_entry>>& entry) {
            if (!entry || !*entry) {
                done(tl::unexpected(entry ? notKept(number) : entry.error()));
                return false;
            }
            auto before = undoLines(*text, (*entry)->difference);
            if (!before) {
                done(tl::unexpected(before.error()));
                return false;
            }
            *text = std::move(*before);
            if ((*entry)->previous <= number) {
                done(*text);
                return false;
            }
            return true;
        };
        walk->step();
    };
    read(unwind);
}

} // namespace limpet
