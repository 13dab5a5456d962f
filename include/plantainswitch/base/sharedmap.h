#pragma once

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string_view>
#include <utility>
#include <vector>

#include "plantainswitch/base/hash.h"

namespace plantainswitch {

/// \returns the heap priority of a key in a SharedMap.
[[nodiscard]] inline std::uint64_t priorityOf(std::string_view key) noexcept
{
    return hashOf(key);
}

/// \returns the heap priority of a key in a SharedMap.
[[nodiscard]] inline std::uint64_t priorityOf(std::uint64_t key) noexcept
{
    return mixHash(key, 0);
}

/// Persistent ordered map: a treap with path copying, whose copies share all equal parts. A copy
/// costs one pointer, a change the nodes on one path, some 2 log2(n) of them. Nodes never change,
/// so other threads may read copies while this one is changed.
template<typename Key, typename Value>
class SharedMap
{
    struct Node;
    using NodePointer = std::shared_ptr<const Node>;

public:
    using Entry = std::pair<const Key, Value>;

    /// Iterates over the entries in key order.
    class Iterator
    {
    public:
        const Entry &operator*() const { return *this->path.back()->entry; }
        Iterator &operator++()
        {
            const Node *node = this->path.back();
            this->path.pop_back();
            this->descend(node->right.get());
            return *this;
        }
        bool operator==(const Iterator &other) const = default;

    private:
        friend class SharedMap;

        void descend(const Node *node)
        {
            for (; node != nullptr; node = node->left.get()) {
                this->path.push_back(node);
            }
        }

        std::vector<const Node *> path;
    };

    /// \returns the value of \a key, or null. It lives as long as any copy of the map that holds
    /// it.
    template<typename Sought>
    [[nodiscard]] const Value *find(const Sought &key) const
    {
        const Node *node = this->root.get();
        while (node != nullptr) {
            if (key < node->entry->first) {
                node = node->left.get();
            } else if (node->entry->first < key) {
                node = node->right.get();
            } else {
                return &node->entry->second;
            }
        }
        return nullptr;
    }

    /// \returns the value of \a key. \throws std::out_of_range when there is none.
    template<typename Sought>
    [[nodiscard]] const Value &at(const Sought &key) const
    {
        const Value *found = this->find(key);
        if (found == nullptr) {
            throw std::out_of_range("SharedMap::at");
        }
        return *found;
    }

    template<typename Sought>
    [[nodiscard]] bool contains(const Sought &key) const
    {
        return this->find(key) != nullptr;
    }

    [[nodiscard]] bool empty() const noexcept { return this->root == nullptr; }

    [[nodiscard]] Iterator begin() const
    {
        Iterator first;
        first.descend(this->root.get());
        return first;
    }
    [[nodiscard]] Iterator end() const { return {}; }

    /// Inserts or replaces the value of \a key.
    void set(Key key, Value value)
    {
        const bool exists = this->contains(key);
        Node newNode;
        newNode.priority = priorityOf(key);
        newNode.entry = std::make_shared<const Entry>(std::move(key), std::move(value));
        this->root = exists ? replaced(*this->root, newNode) : inserted(this->root, newNode);
    }

    /// Removes \a key if present.
    void erase(const Key &key)
    {
        if (this->contains(key)) {
            this->root = erased(*this->root, key);
        }
    }

private:
    struct Node
    {
        std::shared_ptr<const Entry> entry;
        std::uint64_t priority = 0;
        NodePointer left;
        NodePointer right;
    };

    static NodePointer withChildren(const Node &node, NodePointer left, NodePointer right)
    {
        return std::make_shared<const Node>(
            Node{node.entry, node.priority, std::move(left), std::move(right)});
    }

    static NodePointer replaced(const Node &node, const Node &newNode)
    {
        if (newNode.entry->first < node.entry->first) {
            return withChildren(node, replaced(*node.left, newNode), node.right);
        }
        if (node.entry->first < newNode.entry->first) {
            return withChildren(node, node.left, replaced(*node.right, newNode));
        }
        return withChildren(newNode, node.left, node.right);
    }

    static NodePointer inserted(const NodePointer &node, const Node &newNode)
    {
        if (!node || newNode.priority > node->priority) {
            auto [lower, higher] = split(node, newNode.entry->first);
            return withChildren(newNode, std::move(lower), std::move(higher));
        }
        if (newNode.entry->first < node->entry->first) {
            return withChildren(*node, inserted(node->left, newNode), node->right);
        }
        return withChildren(*node, node->left, inserted(node->right, newNode));
    }

    /// \returns the entries below and above \a key, which is not in \a node.
    static std::pair<NodePointer, NodePointer> split(const NodePointer &node, const Key &key)
    {
        if (!node) {
            return {};
        }
        if (node->entry->first < key) {
            auto [lower, higher] = split(node->right, key);
            return {withChildren(*node, node->left, std::move(lower)), std::move(higher)};
        }
        auto [lower, higher] = split(node->left, key);
        return {std::move(lower), withChildren(*node, std::move(higher), node->right)};
    }

    static NodePointer erased(const Node &node, const Key &key)
    {
        if (key < node.entry->first) {
            return withChildren(node, erased(*node.left, key), node.right);
        }
        if (node.entry->first < key) {
            return withChildren(node, node.left, erased(*node.right, key));
        }
        return join(node.left, node.right);
    }

    /// \returns the union; every key of \a lower is below those of \a higher.
    static NodePointer join(const NodePointer &lower, const NodePointer &higher)
    {
        if (!lower || !higher) {
            return lower ? lower : higher;
        }
        if (lower->priority > higher->priority) {
            return withChildren(*lower, lower->left, join(lower->right, higher));
        }
        return withChildren(*higher, join(lower, higher->left), higher->right);
    }

    NodePointer root;
};

} // namespace plantainswitch
