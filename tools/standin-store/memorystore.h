#pragma once

#include "process/storetypes.h"

#include <map>
#include <mutex>

namespace carobjunction
{

/** Numbers of operations that a MemoryStore has performed. */
struct StoreOperationCounts {
    uint64_t writes = 0; /**< Transactions, committed or not, and objects written. */
    uint64_t rows = 0; /**< Row operations in these transactions. */
    uint64_t reads = 0; /**< Reads of rows by key or prefix and of objects. */
};

/** In-memory table service and object store. Satisfies the concept Store; its only error is NotFound for an unknown object. Thread-safe. */
class MemoryStore
{
public:
    std::optional<TransactResult> transact(const std::vector<StoreOp> &ops, bool atomic)
    {
        const std::scoped_lock lock(m_mutex);
        ++m_counts.writes;
        m_counts.rows += ops.size();
        const std::map<std::string, RowState> savedRows = atomic ? copyRows(ops) : std::map<std::string, RowState> {};
        TransactResult result { true, {} };
        for (const StoreOp &op : ops) {
            const bool applied = apply(op);
            result.committed = result.committed && (applied || !atomic);
            result.results.push_back({ applied, 0, std::nullopt });
        }
        if (!result.committed) {
            restoreRows(ops, savedRows);
        }
        for (size_t i = 0; i < ops.size(); ++i) {
            const auto row = m_rows.find(ops[i].key);
            result.results[i].applied = result.results[i].applied && result.committed;
            if (row != m_rows.end()) {
                result.results[i].version = row->second.version;
                result.results[i].value = row->second.value;
            }
        }
        return result;
    }

    std::optional<std::vector<StoreRow>> read(const std::vector<std::string> &keys)
    {
        const std::scoped_lock lock(m_mutex);
        ++m_counts.reads;
        std::vector<StoreRow> rows;
        for (const std::string &key : keys) {
            const auto row = m_rows.find(key);
            if (row != m_rows.end()) {
                rows.push_back({ key, row->second.version, row->second.value });
            }
        }
        return rows;
    }

    std::optional<std::vector<StoreRow>> readPrefix(const std::string &prefix)
    {
        const std::scoped_lock lock(m_mutex);
        ++m_counts.reads;
        std::vector<StoreRow> rows;
        for (auto row = m_rows.lower_bound(prefix); row != m_rows.end() && row->first.starts_with(prefix); ++row) {
            rows.push_back({ row->first, row->second.version, row->second.value });
        }
        return rows;
    }

    bool putObject(const std::string &name, const std::string &bytes)
    {
        const std::scoped_lock lock(m_mutex);
        ++m_counts.writes;
        m_objects[name] = bytes;
        return true;
    }

    std::optional<std::string> getObject(const std::string &name)
    {
        const std::scoped_lock lock(m_mutex);
        ++m_counts.reads;
        const auto object = m_objects.find(name);
        if (object == m_objects.end()) {
            return LastError<StoreError>::fail({ StoreErrorCode::NotFound, false, name });
        }
        return object->second;
    }

    StoreOperationCounts counts() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_counts;
    }

private:
    /** Version and value of a row. */
    struct RowState {
        uint64_t version = 0;
        nlohmann::json value;
    };

    /** Applies an operation if its version condition is met. @return whether it was applied */
    bool apply(const StoreOp &op)
    {
        const auto row = m_rows.find(op.key);
        const uint64_t version = row == m_rows.end() ? 0 : row->second.version;
        if (op.ifVersion && *op.ifVersion != version) {
            return false;
        }
        if (op.value) {
            m_rows[op.key] = { version + 1, *op.value };
        } else {
            m_rows.erase(op.key);
        }
        return true;
    }

    /** Copies the existing rows that the operations refer to, for a rollback. */
    std::map<std::string, RowState> copyRows(const std::vector<StoreOp> &ops) const
    {
        std::map<std::string, RowState> copy;
        for (const StoreOp &op : ops) {
            const auto row = m_rows.find(op.key);
            if (row != m_rows.end()) {
                copy.insert(*row);
            }
        }
        return copy;
    }

    /** Rolls back the operations of a transaction. */
    void restoreRows(const std::vector<StoreOp> &ops, const std::map<std::string, RowState> &savedRows)
    {
        for (const StoreOp &op : ops) {
            m_rows.erase(op.key);
        }
        m_rows.insert(savedRows.begin(), savedRows.end());
    }

    mutable std::mutex m_mutex;
    std::map<std::string, RowState> m_rows;
    std::map<std::string, std::string> m_objects;
    StoreOperationCounts m_counts;
};

static_assert(Store<MemoryStore>);

} // namespace carobjunction
