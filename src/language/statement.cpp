#include "statement.h"

#include <tao/pegtl.hpp>

#include <algorithm>
#include <map>
#include <numeric>

namespace indigoway {

namespace pegtl = tao::pegtl;

namespace grammar {

using namespace pegtl;

struct Comment : seq<one<'#'>, until<eolf>>
{
};
struct Blank : sor<space, Comment>
{
};
struct Gap : plus<Blank>
{
};
struct Spaces : star<Blank>
{
};
/** Within a statement: no line break, so that a line's end ends the statement. */
struct Inner : plus<sor<blank, seq<one<'\\'>, eol>>>
{
};
struct WordChar : sor<alnum, one<'_', '-', '.', '/', ':', '@', '+', '*', '%'>>
{
};
struct Word : plus<WordChar>
{
};
struct QuotedChar : sor<seq<one<'\\'>, any>, not_one<'"', '\n'>>
{
};
struct QuotedText : seq<one<'"'>, star<QuotedChar>, one<'"'>>
{
};
struct Value : sor<QuotedText, Word>
{
};
struct VerbWord
    : seq<sor<TAO_PEGTL_STRING("add"), TAO_PEGTL_STRING("set"), TAO_PEGTL_STRING("remove"),
              TAO_PEGTL_STRING("drain"), TAO_PEGTL_STRING("stop"), TAO_PEGTL_STRING("resume")>,
          not_at<WordChar>>
{
};
struct Kind : sor<TAO_PEGTL_STRING("model"), TAO_PEGTL_STRING("service"), TAO_PEGTL_STRING("pool"),
                  TAO_PEGTL_STRING("server")>
{
};
struct KindWord : seq<Kind, not_at<WordChar>>
{
};
struct ObjectName : Word
{
};
struct AttributeName : Word
{
};
struct AttributeValue : Value
{
};
struct SettingRule : seq<AttributeName, must<Inner>, must<AttributeValue>>
{
};
struct StatementEnd : seq<star<blank>, sor<one<';'>, Comment, eolf>>
{
};
struct Object : seq<must<KindWord>, must<Inner>, must<ObjectName>,
                    star<Inner, not_at<StatementEnd>, SettingRule>>
{
};
struct StatementRule : seq<opt<VerbWord, must<Inner>>, Object, must<StatementEnd>>
{
};
struct StatementList : seq<Spaces, star<not_at<eof>, StatementRule, Spaces>, must<eof>>
{
};

struct QueryKind : Word
{
};
struct ConditionName : Word
{
};
struct ComparisonSign : sor<TAO_PEGTL_STRING("!="), one<'=', '<', '>'>>
{
};
struct ConditionValue : Value
{
};
struct ConditionRule
    : seq<must<ConditionName>, star<Blank>, must<ComparisonSign>, star<Blank>, must<ConditionValue>>
{
};
struct WhereClause : seq<TAO_PEGTL_KEYWORD("where"), must<Gap>,
                         list<ConditionRule, seq<Gap, TAO_PEGTL_KEYWORD("and"), Gap>>>
{
};
struct SortName : Word
{
};
struct Descending : TAO_PEGTL_KEYWORD("desc")
{
};
struct SortClause : seq<TAO_PEGTL_KEYWORD("sort"), must<Gap>, must<TAO_PEGTL_KEYWORD("by")>,
                        must<Gap>, must<SortName>, opt<Gap, Descending>>
{
};
struct JsonWord : TAO_PEGTL_KEYWORD("json")
{
};
struct FormatName : sor<JsonWord, TAO_PEGTL_KEYWORD("table")>
{
};
struct FormatClause : seq<TAO_PEGTL_KEYWORD("as"), must<Gap>, must<FormatName>>
{
};
struct ShowWord : TAO_PEGTL_KEYWORD("show")
{
};
struct QueryRule
    : seq<Spaces, must<ShowWord>, must<Gap>, must<QueryKind>, opt<Gap, WhereClause>,
          opt<Gap, SortClause>, opt<Gap, FormatClause>, Spaces, opt<one<';'>>, Spaces, must<eof>>
{
};

/** What a reader would expect at the place where @p Rule failed. */
template <typename Rule>
constexpr const char *Expected = "something else";
template <>
constexpr const char *Expected<Inner> = "a space";
template <>
constexpr const char *Expected<Gap> = "a space";
template <>
constexpr const char *Expected<KindWord> = "model, service, pool or server";
template <>
constexpr const char *Expected<ObjectName> = "a name";
template <>
constexpr const char *Expected<AttributeValue> = "a value";
template <>
constexpr const char *Expected<StatementEnd> = "an attribute, ';' or the end of the line";
template <>
constexpr const char *Expected<eof> = "the end, or where, sort by, as json";
template <>
constexpr const char *Expected<ShowWord> = "show";
template <>
constexpr const char *Expected<QueryKind> = "what to show";
template <>
constexpr const char *Expected<ConditionName> = "an attribute";
template <>
constexpr const char *Expected<ComparisonSign> = "=, !=, < or >";
template <>
constexpr const char *Expected<ConditionValue> = "a value";
template <>
constexpr const char *Expected<SortName> = "an attribute";
template <>
constexpr const char *Expected<FormatName> = "json or table";

template <typename Rule>
struct Control : normal<Rule>
{
    template <typename Input, typename... States>
    [[noreturn]] static void raise(const Input &in, States &&.../*states*/)
    {
        throw parse_error(std::string("expected ") + Expected<Rule>, in);
    }
};

} // namespace grammar

namespace {

std::string unquoted(const std::string &text)
{
    if (text.empty() || text.front() != '"') {
        return text;
    }
    std::string plain;
    for (std::size_t i = 1; i + 1 < text.size(); ++i) {
        if (text[i] == '\\' && i + 2 < text.size()) {
            ++i;
        }
        plain += text[i];
    }
    return plain;
}

template <typename Input>
TextPosition positionOf(const Input &in)
{
    const auto at = in.position();
    return {at.line, at.column};
}

struct ParsedStatements
{
    Statements done;
    Statement current;
    bool hasVerb = false;
};

template <typename Rule>
struct StatementAction : pegtl::nothing<Rule>
{
};

template <>
struct StatementAction<grammar::VerbWord>
{
    template <typename Input>
    static void apply(const Input &in, ParsedStatements &parsed)
    {
        static const std::map<std::string, Verb> Verbs {
            {"add", Verb::Add},     {"set", Verb::Set},   {"remove", Verb::Remove},
            {"drain", Verb::Drain}, {"stop", Verb::Stop}, {"resume", Verb::Resume},
        };
        parsed.current.verb = Verbs.at(in.string());
    }
};

template <>
struct StatementAction<grammar::KindWord>
{
    template <typename Input>
    static void apply(const Input &in, ParsedStatements &parsed)
    {
        parsed.current.kind = in.string();
        parsed.current.position = positionOf(in);
    }
};

template <>
struct StatementAction<grammar::ObjectName>
{
    template <typename Input>
    static void apply(const Input &in, ParsedStatements &parsed)
    {
        parsed.current.name = in.string();
    }
};

template <>
struct StatementAction<grammar::AttributeName>
{
    template <typename Input>
    static void apply(const Input &in, ParsedStatements &parsed)
    {
        parsed.current.settings.push_back({in.string(), {}, positionOf(in)});
    }
};

template <>
struct StatementAction<grammar::AttributeValue>
{
    template <typename Input>
    static void apply(const Input &in, ParsedStatements &parsed)
    {
        parsed.current.settings.back().value = unquoted(in.string());
    }
};

template <>
struct StatementAction<grammar::StatementRule>
{
    template <typename Input>
    static void apply(const Input & /*in*/, ParsedStatements &parsed)
    {
        parsed.done.push_back(std::move(parsed.current));
        parsed.current = {};
    }
};

template <typename Rule>
struct QueryAction : pegtl::nothing<Rule>
{
};

template <>
struct QueryAction<grammar::QueryKind>
{
    template <typename Input>
    static void apply(const Input &in, Query &query)
    {
        query.kind = in.string();
        query.position = positionOf(in);
    }
};

template <>
struct QueryAction<grammar::ConditionName>
{
    template <typename Input>
    static void apply(const Input &in, Query &query)
    {
        query.conditions.push_back({in.string(), Comparison::Equal, {}});
    }
};

template <>
struct QueryAction<grammar::ComparisonSign>
{
    template <typename Input>
    static void apply(const Input &in, Query &query)
    {
        static const std::map<std::string, Comparison> Signs {
            {"=", Comparison::Equal},
            {"!=", Comparison::NotEqual},
            {"<", Comparison::Less},
            {">", Comparison::Greater},
        };
        query.conditions.back().comparison = Signs.at(in.string());
    }
};

template <>
struct QueryAction<grammar::ConditionValue>
{
    template <typename Input>
    static void apply(const Input &in, Query &query)
    {
        query.conditions.back().value = unquoted(in.string());
    }
};

template <>
struct QueryAction<grammar::SortName>
{
    template <typename Input>
    static void apply(const Input &in, Query &query)
    {
        query.sortBy = in.string();
    }
};

template <>
struct QueryAction<grammar::Descending>
{
    template <typename Input>
    static void apply(const Input & /*in*/, Query &query)
    {
        query.isDescending = true;
    }
};

template <>
struct QueryAction<grammar::JsonWord>
{
    template <typename Input>
    static void apply(const Input & /*in*/, Query &query)
    {
        query.asJson = true;
    }
};

LanguageError languageError(const pegtl::parse_error &error)
{
    const auto &at = error.positions().front();
    return {{at.line, at.column}, std::string(error.message())};
}

std::size_t editDistance(const std::string &a, const std::string &b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t {0});
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t substituted = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, substituted});
        }
    }
    return row.back();
}

} // namespace

std::string LanguageError::text() const
{
    return "line " + std::to_string(position.line) + ", column " + std::to_string(position.column)
        + ": " + message;
}

std::variant<Statements, LanguageError> parseStatements(const std::string &text)
{
    ParsedStatements parsed;
    pegtl::memory_input in(text, "text");
    try {
        pegtl::parse<grammar::StatementList, StatementAction, grammar::Control>(in, parsed);
    } catch (const pegtl::parse_error &error) {
        return languageError(error);
    }
    return std::move(parsed.done);
}

std::variant<Query, LanguageError> parseQuery(const std::string &text)
{
    Query query;
    pegtl::memory_input in(text, "text");
    try {
        pegtl::parse<grammar::QueryRule, QueryAction, grammar::Control>(in, query);
    } catch (const pegtl::parse_error &error) {
        return languageError(error);
    }
    return query;
}

bool isQuery(const std::string &text)
{
    pegtl::memory_input in(text, "text");
    return pegtl::parse<pegtl::seq<grammar::Spaces, grammar::ShowWord>>(in);
}

std::string nearestWord(const std::string &word, const std::vector<std::string> &known)
{
    std::string best;
    std::size_t bestDistance = std::max<std::size_t>(2, word.size() / 2) + 1;
    for (const std::string &candidate : known) {
        const std::size_t distance = editDistance(word, candidate);
        if (distance < bestDistance) {
            bestDistance = distance;
            best = candidate;
        }
    }
    return best;
}

std::string quoted(const std::string &value)
{
    pegtl::memory_input in(value, "value");
    if (pegtl::parse<pegtl::seq<grammar::Word, pegtl::eof>>(in)) {
        return value;
    }
    std::string text = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        text += c;
    }
    return text + '"';
}

} // namespace indigoway
