#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace indigoway {

/** A place in the operators' text, counted from one. */
struct TextPosition
{
    std::size_t line = 1;
    std::size_t column = 1;
};

/** What is wrong with a text, where, and what would be right. */
struct LanguageError
{
    TextPosition position;
    std::string message;
    /** "line 3, column 7: ..." */
    std::string text() const;
};

/** An attribute with its value as written, quotes removed. */
struct Setting
{
    std::string attribute;
    std::string value;
    TextPosition position;
};

/** What is to be done with an object. A plain declaration is Add. */
enum class Verb {
    Add,
    Set,
    Remove,
    Drain,
    Stop,
    Resume,
};

/** One declaration or command. */
struct Statement
{
    Verb verb = Verb::Add;
    std::string kind;
    std::string name;
    std::vector<Setting> settings;
    TextPosition position;
};

/** How a query compares an attribute. */
enum class Comparison {
    Equal,
    NotEqual,
    Less,
    Greater,
};

struct Condition
{
    std::string attribute;
    Comparison comparison = Comparison::Equal;
    std::string value;
};

/** "show KIND where ... sort by ... as json" */
struct Query
{
    std::string kind;
    std::vector<Condition> conditions;
    std::string sortBy;
    bool isDescending = false;
    bool asJson = false;
    TextPosition position;
};

using Statements = std::vector<Statement>;

/** Parses declarations and commands; an empty text is no statements. */
std::variant<Statements, LanguageError> parseStatements(const std::string &text);

/** Parses one query. */
std::variant<Query, LanguageError> parseQuery(const std::string &text);

/** Whether @p text begins like a query and not like a command. */
bool isQuery(const std::string &text);

/** The member of @p known nearest to @p word by edit distance; empty if none is near. */
std::string nearestWord(const std::string &word, const std::vector<std::string> &known);

/** @p value as the language writes it: quoted only where needed. */
std::string quoted(const std::string &value);

} // namespace indigoway
