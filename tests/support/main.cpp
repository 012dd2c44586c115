#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <csignal>
#include <iostream>

int main()
{
    std::signal(SIGPIPE, SIG_IGN);
    CppUnit::TestResult result;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    result.addListener(&collector);
    result.addListener(&progress);
    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(result);
    CppUnit::CompilerOutputter(&collector, std::cerr).write();
    const bool ranAny = collector.runTests() > 0;
    return ranAny && collector.wasSuccessful() ? 0 : 1;
}
